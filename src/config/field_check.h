/// @file field_check.h Checks JSON objects against field tables.

#ifndef SORRELPLANK_CONFIG_FIELD_CHECK_H_
#define SORRELPLANK_CONFIG_FIELD_CHECK_H_

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

#include "config/fault_type.h"
#include "config/field_type.h"

namespace sorrelplank {

/// Checks every field of the object at a path of a file. Reports unknown keys,
/// wrong types and values out of range, but not missing keys; see
/// CheckRequired().
void CheckFields(const nlohmann::json& object,
                 std::span<const FieldRow> table,
                 std::string_view section,
                 const std::string& file,
                 const std::string& path,
                 Faults& faults);

/// Adds a fault for every required field that is missing from an object.
void CheckRequired(const nlohmann::json& object,
                   std::span<const FieldRow> table,
                   std::string_view section,
                   const std::string& file,
                   const std::string& path,
                   Faults& faults);

/// Parses a JSON text. A duplicate key in an object is a fault, since the
/// parser would silently keep only one of its values.
nlohmann::json ParseJson(const std::string& text,
                         const std::string& file,
                         Faults& faults);

/// The row of a key, or nullptr if the table has none.
const FieldRow* FindField(std::span<const FieldRow> table,
                          std::string_view section,
                          std::string_view key);

/// Parses "IP:PORT"; returns false if the text is not a valid address.
bool ParseAddress(const std::string& text, uint32_t& ip, uint16_t& port);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_FIELD_CHECK_H_
