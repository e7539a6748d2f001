/// @file notice_watch.h Whether entry VMs keep to what servers ask.

#ifndef SORRELPLANK_SOAK_NOTICE_WATCH_H_
#define SORRELPLANK_SOAK_NOTICE_WATCH_H_

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

/// Follows what servers ask in their answers, as servers and callers see it.
///
/// Without a clock of the VM: once the caller has the answer to a request, its
/// process knows what the server answered, and what a caller sends it from then
/// on must not reach a server that leaves, or that wants nothing yet. With one:
/// a limit holds over all processes that were told half a second before.
class NoticeWatch {
 public:
  NoticeWatch(Ledger& ledger, bool checks_times)
      : m_ledger(ledger), m_checks_times(checks_times) {}

  /// A request reached a server that does not answer 421.
  void Arrived(const std::string& id,
               const SoakServer& server,
               const VmLife& life,
               TimePoint now);
  /// The server answered it, and asked for something.
  void Asked(const std::string& id,
             const SoakServer& server,
             const ServerNotice& notice,
             const VmLife& life,
             TimePoint now);

  /// Answers that asked for something, and requests checked against one.
  size_t AskedCount() const { return m_asked_count; }
  size_t CheckedCount() const { return m_checked; }

 private:
  /// A run of a server by its instance and life.
  struct RunId {
    std::string m_instance;
    uint64_t m_life = 0;

    auto operator<=>(const RunId&) const = default;
  };
  /// An answer that asked for something.
  struct Notice {
    std::string m_request;
    VmLife m_vm;
    bool m_is_leaving = false;
    bool m_names_limit = false;
    uint64_t m_number = 0;
    /// Until then it wants nothing from the process.
    TimePoint m_paused_until{};
  };
  /// A server that names a limit.
  struct Limited {
    double m_per_second = 0;
    TimePoint m_first_named;
    std::deque<TimePoint> m_window;
  };

  /// Whether it is certain that the process read the server's answer.
  static bool WasRead(const CallerRequest& request, const Notice& notice);
  void CheckLimit(const std::string& id,
                  const SoakServer& server,
                  const VmLife& life,
                  TimePoint now);

  Ledger& m_ledger;
  bool m_checks_times;
  std::map<RunId, std::vector<Notice>> m_notices;
  /// By the run and the number of what it asks.
  std::map<std::pair<RunId, uint64_t>, Limited> m_limited;
  size_t m_asked_count = 0;
  size_t m_checked = 0;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_NOTICE_WATCH_H_
