/// @file strong_type.h Integer types that cannot be mixed up.

#ifndef SORRELPLANK_CORE_STRONG_TYPE_H_
#define SORRELPLANK_CORE_STRONG_TYPE_H_

#include <compare>
#include <cstddef>
#include <functional>

namespace sorrelplank {

/// An integer of type Rep that only mixes with others of the same Tag.
template <typename Tag, typename Rep>
class StrongType {
 public:
  using RepType = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep value) : m_value(value) {}

  /// The plain number, for indexing, hashing and printing.
  constexpr Rep Get() const { return m_value; }

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of this version.
  constexpr auto operator<=>(const StrongType&) const = default;

 private:
  Rep m_value{};
};

}  // namespace sorrelplank

template <typename Tag, typename Rep>
struct std::hash<sorrelplank::StrongType<Tag, Rep>> {
  std::size_t operator()(const sorrelplank::StrongType<Tag, Rep>& id) const {
    return std::hash<Rep>{}(id.Get());
  }
};

#endif  // SORRELPLANK_CORE_STRONG_TYPE_H_
