/// @file key_value_type.h Calls to the platform's key-value service.

#ifndef SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_
#define SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelplank {

/// Outcome of a call to the platform.
enum class PlatformOutcome : uint8_t {
  kDone,         ///< The value was read or written.
  kMissing,      ///< No such key.
  kConflict,     ///< The compare-and-swap's condition did not hold.
  kUnchanged,    ///< A watch ended without a change.
  kUnavailable,  ///< Failed; certainly nothing was written.
  kUnknown,      ///< A write may have taken effect; its response was lost.
};

/// Result of a call.
struct PlatformResult {
  PlatformOutcome m_end = PlatformOutcome::kUnavailable;
  std::string m_value;
  /// Opaque tag of the key's current state, for compare-and-swap.
  std::string m_tag;
};

/// Condition of a write.
struct PutCondition {
  /// Write only if the stored value has this tag; if absent, only if the key
  /// has no value.
  std::optional<std::string> m_tag;
};

/// Keys in the key-value service.
inline constexpr const char* kHeadKey = "sorrelplank/head";
inline constexpr const char* kChunkPrefix = "sorrelplank/chunk/";
/// A JSON list of the running entry VMs, for bootstrapping.
inline constexpr const char* kVmListKey = "sorrelplank/vms";
/// The platform's limit on the size of a value.
inline constexpr size_t kMaxValueBytes = 1U << 20U;

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_
