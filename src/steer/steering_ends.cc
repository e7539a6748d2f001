/// @file steering_ends.cc How requests and their attempts end.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Retry time while nothing is known of the service: about the time that a
/// starting VM takes to read the store.
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
  refusal.m_crashes = m_crashes.CrashCount(request.m_facts.m_digest, now);
  refusal.m_organisation = NameOf(request.m_organisation);
  refusal.m_is_returning = request.m_returned_after > Duration::zero();
  if (!request.m_service.empty()) {
    SteeredService& service = Service(request.m_service);
    const Choice choice = Choose(request, now);
    refusal.m_queue = service.QueueAt(choice.m_fastest, now);
    refusal.m_retry_after =
        ReturnTime(request, reason, choice, refusal.m_queue, now);
    refusal.m_passed_over = request.m_passed_over;
    if (reason == SteerRefusal::kCannotFinish) {
      ExplainCannotFinish(refusal, request, choice, now);
    }
    if (reason == SteerRefusal::kNoServer) {
      refusal.m_retry_after =
          std::max(refusal.m_retry_after,
                   PositiveJitter(TimeUntilServerAvailable(request, now),
                                  refusal.m_request.Get()));
    }
  }
  if (reason == SteerRefusal::kHeldBack) {
    refusal.m_retry_after =
        m_crashes.HeldBackTimeLeft(request.m_facts.m_digest, now);
  }
  const bool lacks_token = reason == SteerRefusal::kOverQuota ||
                           reason == SteerRefusal::kQuotaOutOfReach;
  if (lacks_token) {
    refusal.m_retry_after = Jitter(m_quota_gate.RetryAfter(HashOrganisation(
                                       request.m_organisation->m_name)),
                                   refusal.m_request.Get());
  }
  const bool was_sent_for_other_vm =
      request.m_facts.m_passed_on && request.m_started_sends > 0;
  if (was_sent_for_other_vm && reason == SteerRefusal::kNoServer) {
    // That VM would take the request for unsent, and send it again without
    // charging its retry budget.
    reason = SteerRefusal::kRetriesSpent;
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
  RemoveRequest(refusal.m_request);
}

Duration Steering::ReturnTime(const SteeredRequest& request,
                              SteerRefusal reason,
                              const Choice& choice,
                              const QueueState& queue,
                              TimePoint now) {
  const uint64_t seed = request.m_facts.m_request.Get();
  const bool has_schedule =
      Service(request.m_service).IsUneven() && choice.m_fastest != nullptr &&
      DescribeSteerRefusal(reason).m_status == 503 && !request.m_may_have_run;
  if (!has_schedule) {
    return RetryAfter(queue, seed);
  }
  if (reason == SteerRefusal::kRetriesSpent &&
      choice.m_fastest_free != nullptr) {
    // Servers shed requests although they have free slots. A later attempt has
    // no better chance, and leaves less time.
    return kMinRetryAfter;
  }
  const TimePoint target = request.m_arrived - request.m_returned_after +
                           request.m_route->m_target_latency;
  return choice.m_fastest->Returns().Next(
      queue, target - now - queue.m_usual_latency, seed, now);
}

Duration Steering::TimeUntilServerAvailable(const SteeredRequest& request,
                                            TimePoint now) {
  PickCriteria criteria;
  const RegionServers* const servers = Candidates(request, criteria);
  if (servers == nullptr) {
    return {};
  }
  std::optional<Duration> first;
  for (const ServerState* server : servers->All()) {
    if (m_picker.IsUsable(*server)) {
      const Duration left =
          std::max<Duration>(server->Notices().PausedUntil() - now,
                             m_server_limits.TimeUntilToken(*server, now));
      first = std::min(left, first.value_or(left));
    }
  }
  return first.value_or(Duration::zero());
}

void Steering::CancelLiveAttempts(SteeredRequest& request,
                                  bool counts_as_lost,
                                  TimePoint now) {
  SteeredService& service = Service(request.m_service);
  for (const LiveAttempt& live : request.m_live_attempts) {
    const bool is_lost =
        counts_as_lost &&
        live.m_server->HadEnoughTime(
            now - live.m_sent, service.UsualIn(live.m_server->Region()), now);
    if (is_lost) {
      AttemptReport report;
      report.m_end = AttemptEnd::kLost;
      CountEnd(*live.m_server, report, now);
    } else {
      live.m_server->CountCancel();
    }
    m_sink(CancelSend{request.m_facts.m_request, live.m_attempt});
  }
  request.m_live_attempts.clear();
  CancelPeerAttempt(request, now);
}

void Steering::EndSendsTo(const ServerState& server, TimePoint now) {
  std::vector<std::pair<RequestId, AttemptId>> sends;
  for (const auto& [id, request] : m_requests) {
    for (const LiveAttempt& live : request.m_live_attempts) {
      if (live.m_server.get() == &server) {
        sends.emplace_back(id, live.m_attempt);
      }
    }
  }
  // The requests of the previous run are lost, and their connections may stay
  // silent. Without this, callers would wait until their deadlines for
  // responses that can no longer arrive.
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

void Steering::CountEnd(ServerState& server,
                        const AttemptReport& report,
                        TimePoint now) {
  const ServiceBaseline usual = Service(server.Entry().m_service).Usual();
  const uint32_t failures = server.FailuresInRow();
  const ServerNotices notices = server.Notices();
  server.CountEnd(report, now);
  if (report.m_load) {
    Service(server.Entry().m_service)
        .Hedges()
        .NoteReported(report.m_load->m_work_percent, now);
  }
  const std::string& instance = server.Entry().m_instance;
  if (IsListed(server)) {
    RegionServers& list =
        Service(server.Entry().m_service).RegionServersOf(server);
    list.NoteStatusChange(&server);
    list.NoteLoadReport(&server);
    m_unshared_loads.insert(instance);
  }
  ApplyNotices(server, notices, now);
  if (server.FailuresInRow() > failures && server.IsEjected(now, usual)) {
    m_sink(StateChanged{"server_rests", instance,
                        static_cast<double>(server.FailuresInRow())});
  } else if (failures > 0 && server.FailuresInRow() == 0) {
    m_sink(StateChanged{"server_recovered", instance,
                        static_cast<double>(failures)});
  }
  CountReachability(server, report.m_end, now);
  CountReach(instance, report, now);
}

void Steering::ApplyNotices(const ServerState& server,
                            const ServerNotices& before,
                            TimePoint now) {
  const std::string& instance = server.Entry().m_instance;
  const ServerNotices& after = server.Notices();
  if (after.MaxPerSecond() != before.MaxPerSecond()) {
    m_sink(
        StateChanged{after.MaxPerSecond() ? "server_limit" : "server_unlimited",
                     instance, after.MaxPerSecond().value_or(0)});
  }
  if (after.IsLeaving() && !before.IsLeaving()) {
    m_sink(StateChanged{"server_says_leaving", instance, 1});
  }
  if (after.IsPaused(now) && !before.IsPaused(now)) {
    m_sink(StateChanged{"server_paused", instance,
                        ToMilliseconds(after.PausedUntil() - now) / 1000});
  }
  const bool is_lost_to_region = after.IsLeaving() != before.IsLeaving() ||
                                 after.IsPaused(now) != before.IsPaused(now);
  if (is_lost_to_region) {
    // If it was the last server, requests would be refused until the next
    // measurement of the regions.
    UpdateShares(now);
  }
  if (after.WasMalformed() && !before.WasMalformed()) {
    m_sink(StateChanged{"server_notice_malformed", instance, 0});
  }
}

void Steering::CountReachability(const ServerState& server,
                                 AttemptEnd end,
                                 TimePoint now) {
  const std::string& domain = server.Entry().m_failure_domain;
  DomainBreaker& breaker = m_picker.Breaker(domain);
  if (end == AttemptEnd::kNotSent) {
    if (breaker.CountConnectFailure(server.Entry().m_instance, now)) {
      m_sink(StateChanged{"domain_out_of_reach", domain, 0});
      UpdateShares(now);
    }
    return;
  }
  // A lost request may have been written to a broken link, so it does not prove
  // that the domain is reachable.
  if (end != AttemptEnd::kLost && breaker.CountConnectSuccess()) {
    m_sink(StateChanged{"domain_within_reach", domain, 0});
  }
}

void Steering::RemoveRequest(RequestId id) {
  const auto it = m_requests.find(id);
  if (it->second.m_is_queued) {
    Service(it->second.m_service).Waiting().remove(id);
    Dequeue(it->second);
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
  if (it->second.m_started_sends == 0) {
    UndoTrial(it->second);
  }
  m_requests.erase(it);
}

}  // namespace sorrelplank
