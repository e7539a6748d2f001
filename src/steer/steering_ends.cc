/// @file steering_ends.cc How requests and their sends end.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// When to come back while nothing is known of the service: a start takes
/// about this long to read the store.
constexpr Duration kUnknownRetryAfter = milliseconds(300);

}  // namespace

void Steering::Refuse(SteeredRequest& request,
                      SteerRefusal reason,
                      TimePoint now) {
  RefuseRequest refusal;
  refusal.m_request = request.m_facts.m_request;
  refusal.m_retry_after = kUnknownRetryAfter;
  refusal.m_waited = now - request.m_arrived;
  refusal.m_table_version = m_table ? m_table->m_version : 0;
  refusal.m_sends = static_cast<uint32_t>(request.m_tried.size());
  refusal.m_ends = m_crashes.CrashCount(request.m_facts.m_digest, now);
  refusal.m_organisation = NameOf(request.m_organisation);
  if (!request.m_service.empty()) {
    SteeredService& service = Service(request.m_service);
    refusal.m_line = service.Line(Choose(request, now).m_first, now);
    refusal.m_retry_after =
        ComeBackAfter(refusal.m_line, refusal.m_request.Get());
    refusal.m_passed_over = request.m_passed_over;
    if (reason == SteerRefusal::kNoServer) {
      refusal.m_retry_after = std::max(
          refusal.m_retry_after,
          SpreadLater(UntilServerTakes(request, now), refusal.m_request.Get()));
    }
  }
  if (reason == SteerRefusal::kHeldBack) {
    refusal.m_retry_after =
        m_crashes.HeldBackTimeLeft(request.m_facts.m_digest, now);
  }
  const bool lacks_token = reason == SteerRefusal::kOverQuota ||
                           reason == SteerRefusal::kQuotaOutOfReach;
  if (lacks_token) {
    refusal.m_retry_after = Spread(m_quota_gate.RetryAfter(HashOrganisation(
                                       request.m_organisation->m_name)),
                                   refusal.m_request.Get());
  }
  const bool promises_not_run =
      DescribeSteerRefusal(reason).m_verdict == Verdict::kNotRun;
  if (request.m_may_have_run && promises_not_run) {
    reason = SteerRefusal::kLost;
  }
  if (DescribeSteerRefusal(reason).m_verdict == Verdict::kNotRun) {
    ReturnToken(request, now);
  }
  refusal.m_reason = reason;
  m_sink(refusal);
  Forget(refusal.m_request);
}

Duration Steering::UntilServerTakes(const SteeredRequest& request,
                                    TimePoint now) {
  PickNeed need;
  const ServerRoster* const servers = Candidates(request, need);
  if (servers == nullptr) {
    return {};
  }
  std::optional<Duration> first;
  for (const ServerTrack* server : servers->All()) {
    if (m_picker.IsUsable(*server)) {
      const Duration left =
          std::max<Duration>(server->Notices().PausedUntil() - now,
                             m_server_limits.TimeUntilToken(*server, now));
      first = std::min(left, first.value_or(left));
    }
  }
  return first.value_or(Duration::zero());
}

void Steering::CancelLive(SteeredRequest& request,
                          bool counts_as_lost,
                          TimePoint now) {
  const Duration usual = Service(request.m_service).Usual().m_latency;
  for (const LiveAttempt& live : request.m_live) {
    const bool is_lost = counts_as_lost && live.m_server->HadEnoughTime(
                                               now - live.m_sent, usual, now);
    if (is_lost) {
      AttemptReport report;
      report.m_end = AttemptEnd::kLost;
      CountEnd(*live.m_server, report, now);
    } else {
      live.m_server->CountCancel();
    }
    m_sink(CancelSend{request.m_facts.m_request, live.m_attempt});
  }
  request.m_live.clear();
}

void Steering::EndSendsTo(const ServerTrack& server, TimePoint now) {
  std::vector<std::pair<RequestId, AttemptId>> sends;
  for (const auto& [id, request] : m_requests) {
    for (const LiveAttempt& live : request.m_live) {
      if (live.m_server.get() == &server) {
        sends.emplace_back(id, live.m_attempt);
      }
    }
  }
  // The server that runs now knows nothing of them, and their connections may
  // stay silent. Left alone, callers wait until their deadlines for answers
  // that can no longer come.
  AttemptReport lost;
  lost.m_end = AttemptEnd::kLost;
  lost.m_server_ended = true;
  for (const auto& [request, attempt] : sends) {
    if (m_requests.contains(request)) {
      m_sink(CancelSend{request, attempt});
      Ended(request, attempt, lost, now);
    }
  }
}

void Steering::CountEnd(ServerTrack& server,
                        const AttemptReport& report,
                        TimePoint now) {
  const ServiceBaseline usual = Service(server.Entry().m_service).Usual();
  const uint32_t failures = server.FailuresInRow();
  const ServerNotices notices = server.Notices();
  server.CountEnd(report, now);
  const std::string& instance = server.Entry().m_instance;
  if (IsListed(server)) {
    ServerRoster& list = Service(server.Entry().m_service).ListOf(server);
    list.NoteStanding(&server);
    list.NoteReport(&server);
    m_untold.insert(instance);
  }
  ApplyNotices(server, notices, now);
  if (server.FailuresInRow() > failures && server.IsResting(now, usual)) {
    m_sink(BeliefChanged{"server_rests", instance,
                         static_cast<double>(server.FailuresInRow())});
  } else if (failures > 0 && server.FailuresInRow() == 0) {
    m_sink(BeliefChanged{"server_recovered", instance,
                         static_cast<double>(failures)});
  }
  CountReach(server, report.m_end, now);
}

void Steering::ApplyNotices(const ServerTrack& server,
                            const ServerNotices& before,
                            TimePoint now) {
  const std::string& instance = server.Entry().m_instance;
  const ServerNotices& after = server.Notices();
  if (after.MaxPerSecond() != before.MaxPerSecond()) {
    m_sink(BeliefChanged{
        after.MaxPerSecond() ? "server_limit" : "server_unlimited", instance,
        after.MaxPerSecond().value_or(0)});
  }
  if (after.IsLeaving() && !before.IsLeaving()) {
    m_sink(BeliefChanged{"server_says_leaving", instance, 1});
  }
  if (after.IsPaused(now) && !before.IsPaused(now)) {
    m_sink(BeliefChanged{"server_paused", instance,
                         ToMilliseconds(after.PausedUntil() - now) / 1000});
  }
  const bool is_lost_to_region = after.IsLeaving() != before.IsLeaving() ||
                                 after.IsPaused(now) != before.IsPaused(now);
  if (is_lost_to_region) {
    // Where it was the last one, requests would be refused until regions are
    // measured next.
    UpdateShares(now);
  }
  if (after.WasMalformed() && !before.WasMalformed()) {
    m_sink(BeliefChanged{"server_notice_malformed", instance, 0});
  }
}

void Steering::CountReach(const ServerTrack& server,
                          AttemptEnd end,
                          TimePoint now) {
  const std::string& domain = server.Entry().m_failure_domain;
  DomainBreaker& breaker = m_picker.Breaker(domain);
  if (end == AttemptEnd::kNotSent) {
    if (breaker.CountConnectFailure(server.Entry().m_instance, now)) {
      m_sink(BeliefChanged{"domain_out_of_reach", domain, 0});
      UpdateShares(now);
    }
    return;
  }
  // A send that is lost may have been written into a link that is cut.
  if (end != AttemptEnd::kLost && breaker.CountConnectSuccess()) {
    m_sink(BeliefChanged{"domain_within_reach", domain, 0});
  }
}

void Steering::Forget(RequestId id) {
  const auto it = m_requests.find(id);
  if (it->second.m_waits) {
    Service(it->second.m_service).Waiting().remove(id);
    StopWaiting(it->second);
  }
  if (it->second.m_awaits_table) {
    m_awaiting_table.remove(id);
  }
  if (it->second.m_awaits_token) {
    StopAwaitingToken(it->second);
  }
  if (it->second.m_awaits_server) {
    StopAwaitingServer(it->second);
  }
  m_requests.erase(it);
}

}  // namespace sorrelplank
