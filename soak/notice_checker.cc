/// @file notice_watch.cc Checks on each request that reaches a server.

#include "soak/notice_watch.h"

#include <algorithm>

#include "soak/ledger.h"

namespace sorrelplank::soak {

namespace {

/// The users' bound on a limit: in any 4 s one and a half times what it allows,
/// and five requests, from 4 s after it was first named on, of processes that
/// were told half a second before. The slack is for a machine that runs all the
/// processes at once.
constexpr Duration kWindow = seconds(4);
constexpr Duration kContact = seconds(4);
constexpr Duration kTold = milliseconds(500);
constexpr double kRequestsPerLimit = 4 * 1.5;
constexpr double kAllowedMore = 5;
constexpr double kSlack = 1;

}  // namespace

void NoticeWatch::Asked(const std::string& id,
                        const SoakServer& server,
                        const ServerNotice& notice,
                        const VmLife& life,
                        TimePoint now) {
  ++m_asked_count;
  const RunId run{server.Instance(), server.Life()};
  Notice asked{.m_request = id,
               .m_vm = life,
               .m_is_leaving = notice.m_is_leaving,
               .m_names_limit = notice.m_most_per_second.has_value(),
               .m_number = server.NoticeNumber()};
  if (notice.m_pause) {
    asked.m_paused_until = now + *notice.m_pause;
  }
  m_notices[run].push_back(asked);
  if (notice.m_most_per_second) {
    m_limited.try_emplace({run, server.NoticeNumber()},
                          Limited{*notice.m_most_per_second, now, {}});
  }
}

bool NoticeWatch::WasRead(const CallerRequest& request, const Notice& notice) {
  const bool is_answered = request.m_end == CallerEnd::kSuccess ||
                           request.m_end == CallerEnd::kNotRun;
  if (notice.m_paused_until != TimePoint()) {
    // A rejection that was lost on its way ends a write as "may have run".
    return is_answered && !request.m_idempotent;
  }
  // It ran here only, so the answer that the caller has is this one.
  return request.m_end == CallerEnd::kSuccess && request.m_runs == 1;
}

void NoticeWatch::Arrived(const std::string& id,
                          const SoakServer& server,
                          const VmLife& life,
                          TimePoint now) {
  const RunId run{server.Instance(), server.Life()};
  const CallerRequest* request = m_ledger.Find(id);
  const auto notices = m_notices.find(run);
  if (request == nullptr || notices == m_notices.end()) {
    return;
  }
  for (const Notice& notice : notices->second) {
    const CallerRequest* told = m_ledger.Find(notice.m_request);
    const bool is_bound = notice.m_vm == life && told != nullptr &&
                          WasRead(*told, notice) &&
                          request->m_sent_order > told->m_end_order;
    if (!is_bound) {
      continue;
    }
    ++m_checked;
    if (notice.m_is_leaving) {
      m_ledger.Breach("leaving", id,
                      "reached " + run.m_instance + ", which told " +
                          life.m_vm + " that it leaves");
      break;
    }
    if (now < notice.m_paused_until) {
      m_ledger.Breach("pause", id,
                      "reached " + run.m_instance +
                          ", which wants nothing from " + life.m_vm);
      break;
    }
  }
  if (m_checks_times) {
    CheckLimit(id, server, life, now);
  }
}

void NoticeWatch::CheckLimit(const std::string& id,
                             const SoakServer& server,
                             const VmLife& life,
                             TimePoint now) {
  const RunId run{server.Instance(), server.Life()};
  const auto it = m_limited.find({run, server.NoticeNumber()});
  if (it == m_limited.end()) {
    return;
  }
  const auto& notices = m_notices.at(run);
  const bool counts =
      std::any_of(notices.begin(), notices.end(), [&](const Notice& notice) {
        const CallerRequest* told = m_ledger.Find(notice.m_request);
        return notice.m_names_limit && notice.m_vm == life &&
               notice.m_number == server.NoticeNumber() && told != nullptr &&
               WasRead(*told, notice) && now - told->m_ended >= kTold;
      });
  if (!counts) {
    return;
  }
  Limited& limited = it->second;
  limited.m_window.push_back(now);
  while (now - limited.m_window.front() >= kWindow) {
    limited.m_window.pop_front();
  }
  const double most =
      limited.m_per_second * kRequestsPerLimit + kAllowedMore + kSlack;
  const bool is_over = static_cast<double>(limited.m_window.size()) > most;
  if (is_over && now - limited.m_first_named >= kContact) {
    m_ledger.Breach("limit", id,
                    "is one of " + std::to_string(limited.m_window.size()) +
                        " in 4 s at " + run.m_instance + ", which takes " +
                        std::to_string(limited.m_per_second) + " a second");
  }
}

}  // namespace sorrelplank::soak
