/// @file attempt_report_type.h How one send to a backend server ended.

#ifndef SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_
#define SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_

#include <cstdint>
#include <optional>

#include "core/time_type.h"
#include "steer/server_notice_type.h"

namespace sorrelplank {

/// The kinds of end. They decide what a client may be told.
enum class AttemptEnd : uint8_t {
  kAnswered,          ///< A whole answer of the server's own.
  kServerError,       ///< A whole answer of the server's own with a 5xx status.
  kDeadlineExceeded,  ///< The same, since the time that it was given ran out.
  kRejected,          ///< The server says that it did not run the request.
  kWrongInstance,     ///< Another server has the address; it did not run it.
  kNotSent,           ///< Not one byte left this process.
  kLost,              ///< Sent, and no whole answer came; it may have run.
};

/// Whether the end proves that the request did not run.
inline bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRejected || end == AttemptEnd::kWrongInstance ||
         end == AttemptEnd::kNotSent;
}

/// The name in logs and metrics.
const char* AttemptEndName(AttemptEnd end);

/// A server's word on its own load.
struct ReportedLoad {
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  /// How long work takes on the server's machine at that moment, in percent of
  /// the usual; absent where the server does not tell.
  std::optional<uint32_t> m_work_percent{};
};

/// End of a send with what was learned from it.
struct AttemptReport {
  AttemptEnd m_end = AttemptEnd::kLost;
  std::optional<ReportedLoad> m_load;
  /// Absent where no answer of the server itself came.
  std::optional<ServerNotice> m_notice;
  /// It is known that the server's run ended before the send did.
  bool m_server_ended = false;
  /// From the first byte sent to the last one received.
  Duration m_latency{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ATTEMPT_REPORT_TYPE_H_
