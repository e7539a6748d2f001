/// @file soak_keys.h Organisations of the soak and the API keys of its callers.

#ifndef SORRELPLANK_SOAK_SOAK_KEYS_H_
#define SORRELPLANK_SOAK_SOAK_KEYS_H_

#include <array>
#include <cstddef>

namespace sorrelplank::soak {

struct SoakKey {
  /// Percentage of requests sent with this key.
  unsigned m_percent;
  const char* m_key;
  /// Owner of the key; empty: the key is unknown.
  const char* m_organisation;
};

/// Organisation without a rate limit.
inline constexpr const char* kUnlimitedOrganisation = "acme";
inline constexpr const char* kUnlimitedKey = "key-of-acme";
/// Organisation whose callers send more than its rate limit.
inline constexpr const char* kLimitedOrganisation = "byte";
inline constexpr const char* kLimitedKey = "key-of-byte";
/// Valid only in every other version of the configuration.
inline constexpr const char* kTemporaryKey = "passing-key-of-acme";

/// Most requests carry a valid key without a limit, so that the soak can detect
/// when callers are served again.
inline constexpr std::array<SoakKey, 4> kSoakKeys{{
    {93, kUnlimitedKey, kUnlimitedOrganisation},
    {3, kLimitedKey, kLimitedOrganisation},
    {2, kTemporaryKey, kUnlimitedOrganisation},
    {2, "key-of-nobody", ""},
}};

/// Maps a number from 0 to 99 to a key, by the percentages.
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
