/// @file notice_checker.cc Checks each request that reaches a server.

#include "soak/notice_checker.h"

#include <algorithm>

#include "soak/ledger.h"

namespace sorrelplank::soak {

namespace {

/// The guarantee for rate limits: in any 4 s window at most 1.5 times the
/// allowed requests plus five, starting 4 s after the limit was first sent, and
/// only of processes notified at least half a second before. The slack of one
/// request allows for all processes sharing one machine.
constexpr Duration kWindow = seconds(4);
constexpr Duration kContactTime = seconds(4);
constexpr Duration kNoticeAge = milliseconds(500);
constexpr double kWindowLimitFactor = 4 * 1.5;
constexpr double kExtraRequests = 5;
constexpr double kSlackRequests = 1;

}  // namespace

void NoticeChecker::OnNotice(const std::string& id,
                             const SoakServer& server,
                             const ServerNotice& notice,
                             const VmProcess& process,
                             TimePoint now) {
  ++m_notice_count;
  const RunId run{server.Instance(), server.Generation()};
  Notice entry{.m_request = id,
               .m_process = process,
               .m_is_leaving = notice.m_is_leaving,
               .m_has_limit = notice.m_max_per_second.has_value(),
               .m_notice_number = server.NoticeNumber()};
  if (notice.m_pause) {
    entry.m_paused_until = now + *notice.m_pause;
  }
  m_notices[run].push_back(entry);
  if (notice.m_max_per_second) {
    m_limit_windows.try_emplace({run, server.NoticeNumber()},
                                LimitWindow{*notice.m_max_per_second, now, {}});
  }
}

bool NoticeChecker::WasRead(const CallerRequest& request,
                            const Notice& notice) {
  const bool is_answered = request.m_end == CallerOutcome::kSuccess ||
                           request.m_end == CallerOutcome::kNotRun;
  if (notice.m_paused_until != TimePoint()) {
    // A non-idempotent request whose rejection was lost ends as "may have run",
    // so with these outcomes the VM received the rejection.
    return is_answered && !request.m_idempotent;
  }
  // It ran only once, so the caller's response is the one with the notice.
  return request.m_end == CallerOutcome::kSuccess && request.m_runs == 1;
}

void NoticeChecker::OnArrival(const std::string& id,
                              const SoakServer& server,
                              const VmProcess& process,
                              TimePoint now) {
  const RunId run{server.Instance(), server.Generation()};
  const CallerRequest* request = m_ledger.Find(id);
  const auto notices = m_notices.find(run);
  if (request == nullptr || notices == m_notices.end() ||
      process.m_vm.empty()) {
    return;
  }
  for (const Notice& notice : notices->second) {
    const CallerRequest* notified = m_ledger.Find(notice.m_request);
    const bool is_notified =
        notice.m_process == process && notified != nullptr &&
        WasRead(*notified, notice) &&
        request->m_sent_sequence > notified->m_end_sequence;
    if (!is_notified) {
      continue;
    }
    ++m_checked_count;
    if (notice.m_is_leaving) {
      m_ledger.Breach("leaving", id,
                      "reached " + run.m_instance + ", which notified " +
                          process.m_vm + " that it is leaving");
      break;
    }
    if (now < notice.m_paused_until) {
      m_ledger.Breach("pause", id,
                      "reached " + run.m_instance +
                          ", which is pausing requests from " + process.m_vm);
      break;
    }
  }
  if (m_checks_times) {
    CheckLimit(id, server, process, now);
  }
}

void NoticeChecker::CheckLimit(const std::string& id,
                               const SoakServer& server,
                               const VmProcess& process,
                               TimePoint now) {
  const RunId run{server.Instance(), server.Generation()};
  const auto it = m_limit_windows.find({run, server.NoticeNumber()});
  if (it == m_limit_windows.end()) {
    return;
  }
  const auto& notices = m_notices.at(run);
  const bool is_counted =
      std::any_of(notices.begin(), notices.end(), [&](const Notice& notice) {
        const CallerRequest* notified = m_ledger.Find(notice.m_request);
        return notice.m_has_limit && notice.m_process == process &&
               notice.m_notice_number == server.NoticeNumber() &&
               notified != nullptr && WasRead(*notified, notice) &&
               now - notified->m_end_time >= kNoticeAge;
      });
  if (!is_counted) {
    return;
  }
  LimitWindow& window = it->second;
  window.m_arrivals.push_back(now);
  while (now - window.m_arrivals.front() >= kWindow) {
    window.m_arrivals.pop_front();
  }
  const double max_requests = window.m_per_second * kWindowLimitFactor +
                              kExtraRequests + kSlackRequests;
  const bool is_over =
      static_cast<double>(window.m_arrivals.size()) > max_requests;
  if (is_over && now - window.m_limited_since >= kContactTime) {
    m_ledger.Breach("limit", id,
                    "is one of " + std::to_string(window.m_arrivals.size()) +
                        " in 4 s at " + run.m_instance + ", which allows " +
                        std::to_string(window.m_per_second) + " a second");
  }
}

}  // namespace sorrelplank::soak
