/// @file soak_keys.h Organisations of the soak, and the keys that callers show.

#ifndef SORRELPLANK_SOAK_SOAK_KEYS_H_
#define SORRELPLANK_SOAK_SOAK_KEYS_H_

#include <array>
#include <cstddef>

namespace sorrelplank::soak {

struct SoakKey {
  /// Part of the requests that show it.
  unsigned m_percent;
  const char* m_key;
  /// Whose it is; empty: nobody's.
  const char* m_organisation;
};

/// Has no limit.
inline constexpr const char* kFreeOrganisation = "acme";
inline constexpr const char* kFreeKey = "key-of-acme";
/// Its callers ask for more than its limit.
inline constexpr const char* kLimitedOrganisation = "byte";
inline constexpr const char* kLimitedKey = "key-of-byte";
/// In every other version only.
inline constexpr const char* kPassingKey = "passing-key-of-acme";

/// Most requests can be served, so that the soak sees when callers are served
/// again.
inline constexpr std::array<SoakKey, 4> kSoakKeys{{
    {93, kFreeKey, kFreeOrganisation},
    {3, kLimitedKey, kLimitedOrganisation},
    {2, kPassingKey, kFreeOrganisation},
    {2, "key-of-nobody", ""},
}};

/// The key at a number from 0 to 99.
inline const SoakKey& KeyAt(unsigned number) {
  size_t at = 0;
  while (at + 1 < kSoakKeys.size() && number >= kSoakKeys[at].m_percent) {
    number -= kSoakKeys[at].m_percent;
    ++at;
  }
  return kSoakKeys[at];
}

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_KEYS_H_
