/// @file peer_report_type.h Outcome of a request passed on to another entry VM.

#ifndef SORRELPLANK_STEER_PEER_REPORT_TYPE_H_
#define SORRELPLANK_STEER_PEER_REPORT_TYPE_H_

#include <cstdint>
#include <optional>

#include "steer/steer_refusal_type.h"

namespace sorrelplank {

/// How a request that was passed on ended.
enum class PeerEnd : uint8_t {
  kAnswered,  ///< A complete response: a server's, or a refusal of the VM.
  kNotSent,   ///< No byte of the request left this process.
  kLost,      ///< Sent without a complete response; the request may have run.
};

/// Name in logs and metrics.
const char* PeerEndName(PeerEnd end);

/// Outcome of a request that was passed on.
struct PeerReport {
  PeerEnd m_end = PeerEnd::kLost;
  /// Set if the VM refused the request itself.
  std::optional<SteerRefusal> m_refusal{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_PEER_REPORT_TYPE_H_
