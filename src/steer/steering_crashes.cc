/// @file steering_crashes.cc Requests that servers ended under: found, told,
/// held back.

#include <algorithm>
#include <utility>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Servers that ended under a request after which it is not sent on at once.
/// Each end takes other requests along: after one, most are innocent, and are
/// sent on; two in a row are seldom chance.
constexpr size_t kEndsWithoutResend = 2;
/// Old facts are looked for this often.
constexpr Duration kCrashSweepInterval = seconds(1);

}  // namespace

bool Steering::MayHaveCrashed(const ServerState& server) const {
  // One that leaves may close its connections at its planned end.
  return IsListed(server) && m_picker.IsUsable(server);
}

bool Steering::IsSuspect(const SteeredRequest& request, TimePoint now) const {
  return m_crashes.Ends(request.m_facts.m_digest, now) > 0;
}

bool Steering::IsResendForbidden(const SteeredRequest& request,
                                 TimePoint now) const {
  return m_crashes.Ends(request.m_facts.m_digest, now) >= kEndsWithoutResend;
}

void Steering::CountLost(SteeredRequest& request,
                         const ServerState& server,
                         bool server_ended,
                         TimePoint now) {
  ++request.m_lost_sends;
  if (server_ended) {
    NoteOwnCrash(ReportOf(request, server), now);
    return;
  }
  if (!MayHaveCrashed(server)) {
    return;
  }
  const size_t ends = m_crashes.Ends(request.m_facts.m_digest, now) + 1;
  // Sent on before the check, it could end the next server. One that was at no
  // end before, and was lost for the first time, does not wait.
  request.m_awaits_check =
      request.m_route->m_idempotent && request.m_live_attempts.empty() &&
      std::max<size_t>(ends, request.m_lost_sends) >= kEndsWithoutResend;
  CheckServer(request, server);
}

CrashReport Steering::ReportOf(const SteeredRequest& request,
                               const ServerState& server) {
  return {{request.m_facts.m_digest, RunName(server.Entry())},
          request.m_service,
          request.m_facts.m_host,
          request.m_facts.m_path};
}

void Steering::CheckServer(const SteeredRequest& request,
                           const ServerState& server) {
  const ServerEntry& entry = server.Entry();
  auto& unsettled = m_pending_crash_checks[entry.m_instance];
  unsettled.push_back({request.m_facts.m_request, ReportOf(request, server)});
  if (unsettled.size() == 1) {
    m_sink(CheckServerReachable{entry.m_instance, entry.m_address});
  }
}

void Steering::ServerChecked(const std::string& instance,
                             ServerReach reach,
                             TimePoint now) {
  const auto it = m_pending_crash_checks.find(instance);
  if (it == m_pending_crash_checks.end()) {
    return;
  }
  const std::vector<PendingCrashCheck> ends = std::move(it->second);
  m_pending_crash_checks.erase(it);
  for (const PendingCrashCheck& end : ends) {
    if (reach == ServerReach::kRefuses) {
      NoteOwnCrash(end.m_report, now);
    }
    const auto request = m_requests.find(end.m_request);
    if (request != m_requests.end() && request->second.m_awaits_check) {
      request->second.m_awaits_check = false;
      RetryOrFail(request->second, AttemptId(), AttemptEnd::kLost, now);
    }
  }
}

void Steering::NoteOwnCrash(const CrashReport& report, TimePoint now) {
  const auto change = m_crashes.Note(report.m_fact, Duration::zero(), now);
  if (change == CrashRegister::Change::kNone) {
    return;
  }
  m_sink(RequestSuspected{report, m_crashes.Ends(report.m_fact.m_digest, now)});
  if (change == CrashRegister::Change::kHeld) {
    HoldBack(report.m_fact.m_digest, now);
  }
}

void Steering::ApplyPeerCrash(const CrashFact& fact,
                              Duration age,
                              TimePoint now) {
  if (m_crashes.Note(fact, age, now) == CrashRegister::Change::kHeld) {
    HoldBack(fact.m_digest, now);
  }
}

void Steering::DropCrash(const CrashFact& fact, TimePoint now) {
  const bool was_held = m_crashes.IsHeld(fact.m_digest, now);
  m_crashes.Remove(fact);
  if (was_held && !m_crashes.IsHeld(fact.m_digest, now)) {
    m_sink(HoldEnded{fact.m_digest});
  }
}

void Steering::HoldBack(const RequestDigest& digest, TimePoint now) {
  m_sink(RequestHeld{digest, m_crashes.Ends(digest, now)});
  std::vector<RequestId> same;
  for (const auto& [id, request] : m_requests) {
    const bool is_begun = request.m_route != nullptr;
    if (is_begun && request.m_facts.m_digest == digest) {
      same.push_back(id);
    }
  }
  for (const RequestId id : same) {
    SteeredRequest& request = m_requests.at(id);
    // A server that has not begun with it drops it with its connection.
    request.m_may_have_run |= !request.m_live_attempts.empty();
    CancelLiveAttempts(request, false, now);
    Refuse(request, SteerRefusal::kHeldBack, now);
  }
}

void Steering::ClearSuspicion(const RequestDigest& digest, TimePoint now) {
  if (m_crashes.Ends(digest, now) == 0) {
    return;
  }
  m_sink(CrashesForgotten{m_crashes.Clear(digest), "answered"});
}

void Steering::ForgetOldCrashes(TimePoint now) {
  if (now - m_crashes_swept < kCrashSweepInterval) {
    return;
  }
  m_crashes_swept = now;
  std::vector<CrashFact> expired = m_crashes.TakeExpired(m_removal_spread, now);
  if (!expired.empty()) {
    m_sink(CrashesForgotten{std::move(expired), "expired"});
  }
}

}  // namespace sorrelplank
