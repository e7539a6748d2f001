/// @file notice_checker.h Checks that entry VMs obey the notices of servers.

#ifndef SORRELPLANK_SOAK_NOTICE_CHECKER_H_
#define SORRELPLANK_SOAK_NOTICE_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time_type.h"
#include "soak/crashing_requests.h"
#include "soak/soak_server.h"

namespace sorrelplank::soak {

class Ledger;
struct CallerRequest;

/// Tracks the notices in servers' responses (rate limit, pause, leaving), as
/// servers and callers observe them.
///
/// Always: once the caller has the response to a request, the VM's process
/// knows the notice in the server's response. Requests sent to that process
/// later must not reach a server that is leaving or still pausing requests.
/// With time bounds: a rate limit holds over all processes that were notified
/// at least half a second before.
class NoticeChecker {
 public:
  NoticeChecker(Ledger& ledger, bool checks_times)
      : m_ledger(ledger), m_checks_times(checks_times) {}

  /// A request reached a server that does not reject it with 421.
  void OnArrival(const std::string& id,
                 const SoakServer& server,
                 const VmProcess& process,
                 TimePoint now);
  /// The server responded to the request with a notice.
  void OnNotice(const std::string& id,
                const SoakServer& server,
                const ServerNotice& notice,
                const VmProcess& process,
                TimePoint now);

  /// Number of responses with a notice, and of checks of a request against one.
  size_t NoticeCount() const { return m_notice_count; }
  size_t CheckedCount() const { return m_checked_count; }

 private:
  /// One run of a server, from a start to a crash or restart.
  struct RunId {
    std::string m_instance;
    uint64_t m_generation = 0;

    auto operator<=>(const RunId&) const = default;
  };
  /// A notice in a server's response.
  struct Notice {
    std::string m_request;
    VmProcess m_process;
    bool m_is_leaving = false;
    bool m_has_limit = false;
    uint64_t m_notice_number = 0;
    /// The process must send the server nothing before this time.
    TimePoint m_paused_until{};
  };
  /// A server's rate limit and the arrivals counted against it.
  struct LimitWindow {
    double m_per_second = 0;
    TimePoint m_limited_since;
    std::deque<TimePoint> m_arrivals;
  };

  /// Whether the process certainly received the response with the notice.
  static bool WasRead(const CallerRequest& request, const Notice& notice);
  void CheckLimit(const std::string& id,
                  const SoakServer& server,
                  const VmProcess& process,
                  TimePoint now);

  Ledger& m_ledger;
  bool m_checks_times;
  std::map<RunId, std::vector<Notice>> m_notices;
  /// By server run and notice number.
  std::map<std::pair<RunId, uint64_t>, LimitWindow> m_limit_windows;
  size_t m_notice_count = 0;
  size_t m_checked_count = 0;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_NOTICE_CHECKER_H_
