/// @file attempt_report_type.h Outcome of one attempt at a backend server.

#ifndef SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_
#define SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_

#include <cstdint>
#include <optional>

#include "core/time_type.h"
#include "steer/server_notice_type.h"

namespace sorrelplank {

/// How an attempt ended; decides which outcome the client may be told.
enum class AttemptEnd : uint8_t {
  kAnswered,     ///< A complete response from the server itself.
  kServerError,  ///< A complete response from the server itself, status 5xx.
  /// A complete response from the server itself: the time given to the request
  /// ran out there (status 504).
  kDeadlineExceeded,
  kRejected,       ///< The server reports that it did not run the request.
  kWrongInstance,  ///< Another server has the address; it did not run it.
  kNotSent,        ///< No byte of the request left this process.
  kLost,  ///< Sent without a complete response; the request may have run.
};

/// Whether the outcome proves that the request did not run.
inline bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRejected || end == AttemptEnd::kWrongInstance ||
         end == AttemptEnd::kNotSent;
}

/// Name in logs and metrics.
const char* AttemptEndName(AttemptEnd end);

/// Load that a server reports about itself.
struct ReportedLoad {
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  /// Current processing time on the server's machine in percent of the usual
  /// time; absent if the server does not report it.
  std::optional<uint32_t> m_work_percent{};
};

/// Outcome of an attempt and the information that came with it.
struct AttemptReport {
  AttemptEnd m_end = AttemptEnd::kLost;
  std::optional<ReportedLoad> m_load;
  /// Absent if the server itself sent no response.
  std::optional<ServerNotice> m_notice;
  /// The request was sent on a connection opened for it.
  bool m_is_new_connection = false;
  /// The server's run is known to have ended before the attempt did.
  bool m_server_ended = false;
  /// Time from the first byte sent to the last byte received.
  Duration m_latency{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_
