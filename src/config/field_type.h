/// @file field_type.h Description of one field of a JSON file.

#ifndef SORRELPLANK_CONFIG_FIELD_TYPE_H_
#define SORRELPLANK_CONFIG_FIELD_TYPE_H_

#include <cstdint>
#include <string_view>

namespace sorrelplank {

/// Type of a field's value.
enum class FieldKind : uint8_t {
  kBool,
  kInteger,      ///< Whole number in a range.
  kNumber,       ///< Any number in a range.
  kText,         ///< Non-empty text of letters, digits, '-', '_' and '.'.
  kReference,    ///< Name of an entry of another section.
  kIp,           ///< IPv4 address.
  kAddressList,  ///< List of "IP:PORT".
  kNamePair,     ///< List of two different names of another section.
};

/// One row of a field table.
struct FieldRow {
  std::string_view m_section;
  std::string_view m_key;
  FieldKind m_kind;
  bool m_required;
  double m_default;
  double m_min;
  double m_max;
  std::string_view m_unit;
  /// For kReference and kNamePair: the section that holds the name.
  std::string_view m_refers_to;
  std::string_view m_help;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_FIELD_TYPE_H_
