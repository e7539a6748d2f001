/// @file call_headers_type.h Header fields between callers, entry VMs and
/// backend servers.

#ifndef SORRELPLANK_SERVE_CALL_HEADERS_TYPE_H_
#define SORRELPLANK_SERVE_CALL_HEADERS_TYPE_H_

namespace sorrelplank {

// From callers to the entry VM.
inline constexpr const char* kDeadlineHeader = "sorrelplank-deadline-ms";
inline constexpr const char* kKeyHeader = "sorrelplank-key";
inline constexpr const char* kTriedHeader = "sorrelplank-tried";
inline constexpr const char* kClientHeader = "sorrelplank-client";

// From the entry VM to callers; the verdict also from backend servers to the
// entry VM.
inline constexpr const char* kVerdictHeader = "sorrelplank-verdict";
inline constexpr const char* kReasonHeader = "sorrelplank-reason";
inline constexpr const char* kRequestIdHeader = "sorrelplank-request-id";
inline constexpr const char* kVmHeader = "sorrelplank-vm";
inline constexpr const char* kRetryAfterMsHeader = "sorrelplank-retry-after-ms";

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CALL_HEADERS_TYPE_H_
