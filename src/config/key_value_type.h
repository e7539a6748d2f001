/// @file key_value_type.h The key-value service as publishing uses it.

#ifndef SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_
#define SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelplank {

/// How a call to the platform ended.
enum class PlatformEnd : uint8_t {
  kDone,         ///< Read, or written.
  kMissing,      ///< No such key.
  kConflict,     ///< The compare-and-swap's condition did not hold.
  kUnchanged,    ///< A watch ended without a change.
  kUnavailable,  ///< Certainly nothing was written.
  kUnknown,      ///< A write may have taken effect; its answer was lost.
};

/// Outcome of a call.
struct PlatformResult {
  PlatformEnd m_end = PlatformEnd::kUnavailable;
  std::string m_value;
  /// Tells this state of the key from any other; opaque.
  std::string m_tag;
};

/// Condition of a write.
struct PutCondition {
  /// Write only over the value with this tag; absent: only where there is no
  /// value.
  std::optional<std::string> m_tag;
};

/// Keys that we use.
inline constexpr const char* kHeadKey = "sorrelplank/head";
inline constexpr const char* kChunkPrefix = "sorrelplank/chunk/";
/// A JSON list of the entry VMs that run, for first contact.
inline constexpr const char* kVmListKey = "sorrelplank/vms";
/// The platform's limit on a value.
inline constexpr size_t kMostValueBytes = 1U << 20U;

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_KEY_VALUE_TYPE_H_
