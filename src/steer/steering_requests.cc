/// @file steering_requests.cc Processing of a request: send, queue, retry,
/// hedge.

#include <algorithm>
#include <utility>

#include "steer/idle_connections_func.h"
#include "steer/retry_account.h"
#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Number of consecutive queued requests without an available server after
/// which the service counts as full.
constexpr int kMaxQueueMisses = 8;
/// A hedged request is sent once an attempt takes this many usual latencies. A
/// cache miss takes 3.3, and as long again in a server's queue; a hedge for
/// those would only occupy slots.
constexpr int kHedgeLatencyFactor = 8;
/// With less time left than this, or than half of the usual latency, a retry
/// would cost a server work for a response that comes too late.
constexpr Duration kMinRetryTime = milliseconds(50);
/// Fraction of the retry extra that is used. A process and those that follow it
/// within a window may spend up to two shares (see RetryExtraShare).
constexpr double kRetryExtraFraction = 0.45;
/// Servers tried per request. Each one that is down, but not yet known to be,
/// costs a round trip or a connect timeout.
constexpr size_t kMaxTriedServers = 5;

}  // namespace

void Steering::Dispatch(SteeredRequest& request, TimePoint now) {
  if (!ReachesServers()) {
    if (!PassOn(request, now)) {
      Refuse(request, SteerRefusal::kNoServer, now);
    }
    return;
  }
  Choice choice = Choose(request, now);
  // If the server had room, the requests that already wait for it would have
  // been sent.
  while (choice.m_fastest != nullptr &&
         choice.m_fastest == choice.m_fastest_free &&
         CanFinish(request, choice, now)) {
    if (TrySend(request, choice.m_fastest, now)) {
      return;
    }
    if (m_server_limits.MayTry(*choice.m_fastest, now)) {
      break;
    }
    choice = Choose(request, now);
  }
  if (choice.m_fastest == nullptr) {
    Refuse(request, SteerRefusal::kNoServer, now);
    return;
  }
  if (!CanFinish(request, choice, now)) {
    Refuse(request, SteerRefusal::kCannotFinish, now);
    return;
  }
  WaitBudget budget;
  budget.m_time_to_target =
      request.m_arrived - now + request.m_route->m_target_latency;
  budget.m_time_to_deadline = request.m_deadline - now;
  const QueueState queue = QueueFor(request, choice.m_fastest, now);
  if (CanFinishAtFastest(request, choice, now) && MayWait(queue, budget)) {
    Enqueue(request, choice.m_fastest);
    return;
  }
  if (CanFinishAtFree(request, choice, now) &&
      TrySend(request, choice.m_fastest_free, now)) {
    return;
  }
  Refuse(request, SteerRefusal::kOverloaded, now);
}

QueueState Steering::QueueFor(SteeredRequest& request,
                              const ServerState* server,
                              TimePoint now) {
  SteeredService& service = Service(request.m_service);
  QueueState state = service.QueueAt(server, now);
  if (!service.IsUneven() || server == nullptr) {
    return state;
  }
  if (!request.m_is_queued) {
    // The rank of a queued request changes in ReorderWaiting() only, which
    // sorts the queue again.
    request.m_rank.m_misses_target = MissesTarget(request, *server, now);
  }
  const auto& queue = service.Waiting();
  state.m_ahead = static_cast<size_t>(
      std::count_if(queue.begin(), queue.end(), [&](RequestId id) {
        const SteeredRequest& other = m_requests.at(id);
        return &other != &request && other.m_queued_for.get() == server &&
               !request.m_rank.GoesBefore(other.m_rank);
      }));
  return state;
}

bool Steering::MissesTarget(const SteeredRequest& request,
                            const ServerState& server,
                            TimePoint now) {
  const Duration usual =
      Service(request.m_service).QueueAt(&server, now).m_usual_latency;
  const TimePoint first_sent = request.m_arrived - request.m_returned_after;
  return now + usual > first_sent + request.m_route->m_target_latency;
}

void Steering::ReorderWaiting(SteeredService& service, TimePoint now) {
  bool has_changed = false;
  for (const RequestId id : service.Waiting()) {
    SteeredRequest& request = m_requests.at(id);
    if (!request.m_rank.m_misses_target &&
        MissesTarget(request, *request.m_queued_for, now)) {
      request.m_rank.m_misses_target = true;
      has_changed = true;
    }
  }
  if (has_changed) {
    // Stable: requests of equal rank stay in order of arrival.
    service.Waiting().sort([this](RequestId one, RequestId other) {
      return m_requests.at(one).m_rank.GoesBefore(m_requests.at(other).m_rank);
    });
  }
}

void Steering::ServeUnevenQueues(TimePoint now) {
  for (auto& [name, service] : m_services) {
    if (service->IsUneven() && !service->Waiting().empty()) {
      ServeWaiting(*service, now);
    }
  }
}

void Steering::Enqueue(SteeredRequest& request, ServerState* server) {
  auto& queue = Service(request.m_service).Waiting();
  request.m_is_queued = true;
  request.m_queued_for = m_servers.at(server->Entry().m_instance);
  request.m_queued_for->AddWaiting();
  const auto later =
      std::find_if(queue.begin(), queue.end(), [&](RequestId id) {
        return request.m_rank.GoesBefore(m_requests.at(id).m_rank);
      });
  for (auto it = later; it != queue.end(); ++it) {
    SteeredRequest& behind = m_requests.at(*it);
    behind.m_was_displaced |= behind.m_queued_for == request.m_queued_for;
  }
  queue.insert(later, request.m_facts.m_request);
}

void Steering::Dequeue(SteeredRequest& request) {
  request.m_is_queued = false;
  request.m_queued_for->RemoveWaiting();
  request.m_queued_for.reset();
}

void Steering::RequeueWaiting(const ServerState& server, TimePoint now) {
  std::list<RequestId>& queue = Service(server.Entry().m_service).Waiting();
  std::vector<RequestId> moved;
  for (const RequestId id : queue) {
    if (m_requests.at(id).m_queued_for.get() == &server) {
      moved.push_back(id);
    }
  }
  for (const RequestId id : moved) {
    SteeredRequest& request = m_requests.at(id);
    queue.remove(id);
    Dequeue(request);
    Dispatch(request, now);
  }
}

bool Steering::MayRetry(SteeredRequest& request, TimePoint now) {
  if (request.m_retry_charge) {
    return true;
  }
  if (!HasRetryLeft(request, now)) {
    return false;
  }
  if (request.m_started_sends == 0) {
    // The retry budget protects servers from more work than callers ask for. An
    // attempt that reached no server caused no work. When such attempts were
    // charged, the budget was spent within a second of a failure domain's loss,
    // and all requests for its servers were refused.
    return true;
  }
  RetryBudgetShare& retries = Service(request.m_service).Retries();
  const double ratio = m_settings.m_retry_ratio * RetryAccount::kRatioFraction;
  const double extra = RetryExtra(now);
  if (request.m_rank.m_is_first_call) {
    request.m_retry_charge = retries.TrySpendAsFirstCall(ratio, extra, now);
    return request.m_retry_charge.has_value();
  }
  const bool is_returning = request.m_returned_after > Duration::zero();
  if (is_returning && !std::exchange(request.m_is_retry_need_counted, true)) {
    retries.CountReturningNeed(now);
  }
  request.m_retry_charge = retries.TrySpend(ratio, extra, now);
  return request.m_retry_charge.has_value();
}

bool Steering::MayHedge(SteeredRequest& request, TimePoint now) {
  if (request.m_retry_charge) {
    return true;
  }
  if (!HasRetryLeft(request, now)) {
    return false;
  }
  const double ratio = m_settings.m_retry_ratio * RetryAccount::kRatioFraction;
  request.m_retry_charge = Service(request.m_service)
                               .Retries()
                               .TrySpendHedge(ratio, RetryExtra(now), now);
  return request.m_retry_charge.has_value();
}

bool Steering::HasRetryLeft(const SteeredRequest& request, TimePoint now) {
  const auto& passed_on = request.m_facts.m_passed_on;
  const uint32_t max_sends =
      std::min(request.m_route->m_max_sends,
               passed_on ? passed_on->m_max_sends : UINT32_MAX);
  if (request.m_started_sends >= max_sends ||
      request.m_tried.size() >= kMaxTriedServers) {
    return false;
  }
  if (request.m_may_have_run && !request.m_route->m_idempotent) {
    return false;
  }
  if (m_crashes.IsHeldBack(request.m_facts.m_digest, now) ||
      (request.m_lost_sends > 0 && IsRetryForbidden(request, now))) {
    return false;
  }
  return request.m_deadline - now >= MinRetryTime(request);
}

double Steering::RetryExtra(TimePoint now) const {
  return m_settings.m_retry_extra * kRetryExtraFraction *
         m_retry_extra_share.Fraction(now);
}

Duration Steering::MinRetryTime(const SteeredRequest& request) {
  // Whether a server can answer in time is decided by its forecast. The median
  // latency includes the time in its queue, so that under overload retries at
  // servers with free slots would be denied.
  if (HasForecast(request)) {
    return kMinRetryTime;
  }
  const Duration usual = Service(request.m_service).Usual().m_latency;
  return std::max<Duration>(kMinRetryTime, usual / 2);
}

bool Steering::TrySend(SteeredRequest& request,
                       ServerState* server,
                       TimePoint now) {
  if (server == nullptr || !m_picker.MaySend(*server, now)) {
    return false;
  }
  if (!request.m_tried.empty() && !MayRetry(request, now)) {
    return false;
  }
  // Sends without a limit are counted as well: when the server turns out to be
  // cold, it has got them within the same second.
  const uint32_t rate_limit =
      m_picker.RateLimit(*server, RulesOf(request.m_service), now)
          .value_or(UINT32_MAX);
  if (!server->TryTakeRate(rate_limit, now)) {
    return false;
  }
  if (server->Notices().MaxPerSecond()) {
    return TakeServerToken(request, server, now);
  }
  Send(request, server, now);
  return true;
}

void Steering::Send(SteeredRequest& request,
                    ServerState* server,
                    TimePoint now) {
  const AttemptId attempt(m_next_attempt++);
  const ServerEntry& entry = server->Entry();
  server->CountSend(now);
  if (m_picker.Breaker(entry.m_failure_domain).CountSend(now)) {
    UpdateShares(now);
  }
  server->MarkWarmFor(request.m_facts.m_object, now);
  const bool is_second_choice =
      request.m_first_choice != nullptr && request.m_first_choice != server;
  const ServiceBaseline usual =
      Service(request.m_service).UsualIn(server->Region());
  const double occupancy = server->Occupancy(now, usual);
  const double rounds = std::max(0.0, occupancy / entry.m_slots - 1);
  const bool is_hedge = !request.m_live_attempts.empty();
  request.m_live_attempts.push_back(
      {.m_attempt = attempt,
       .m_server = m_servers.at(entry.m_instance),
       .m_sent = now,
       .m_queue_met =
           std::chrono::duration_cast<Duration>(usual.m_slot_time * rounds),
       .m_is_hedge = is_hedge});
  request.m_tried.push_back(entry.m_instance);
  ++request.m_started_sends;
  const size_t max_idle_connections = MaxIdleConnections(
      RulesOf(entry.m_service).m_max_connections, m_picker.Fleet().size());
  m_sink(SendToServer{
      .m_request = request.m_facts.m_request,
      .m_attempt = attempt,
      .m_instance = entry.m_instance,
      .m_address = entry.m_address,
      .m_time_left = request.m_deadline - now,
      .m_idempotent = request.m_route->m_idempotent,
      .m_is_hedge = is_hedge,
      .m_organisation = NameOf(request.m_organisation),
      .m_strips_key = request.m_table->m_organisations.has_value(),
      .m_max_idle_connections = max_idle_connections,
      .m_service = request.m_service,
      .m_region = m_regions[server->Region()],
      .m_occupancy = occupancy,
      .m_waited = now - request.m_arrived,
      .m_passed_over = request.m_passed_over,
      .m_is_second_choice = is_second_choice,
      .m_table_version = request.m_table->m_version,
      .m_is_returning = request.m_returned_after > Duration::zero(),
      .m_retry_charge = std::exchange(request.m_retry_charge, std::nullopt)});
}

void Steering::Ended(RequestId id,
                     AttemptId attempt,
                     const AttemptReport& report,
                     TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  SteeredRequest& request = it->second;
  const auto live = std::find_if(
      request.m_live_attempts.begin(), request.m_live_attempts.end(),
      [&](const LiveAttempt& one) { return one.m_attempt == attempt; });
  if (live == request.m_live_attempts.end()) {
    return;
  }
  const std::shared_ptr<ServerState> server = live->m_server;
  const bool is_hedge = live->m_is_hedge;
  const Duration under_way = now - live->m_sent;
  CountEnd(*server, report, now);
  if (report.m_end == AttemptEnd::kWrongInstance) {
    server->MarkGone();
    if (IsListed(*server)) {
      Service(server->Entry().m_service)
          .RegionServersOf(*server)
          .NoteStatusChange(server.get());
    }
  }
  request.m_live_attempts.erase(live);
  if (report.m_end == AttemptEnd::kNotSent) {
    --request.m_started_sends;
  }
  SteeredService& service = Service(request.m_service);
  service.CountEnd(*server, report, request.m_route->m_name);
  if (!m_picker.MaySend(*server, now)) {
    RequeueWaiting(*server, now);
  }
  if (report.m_end == AttemptEnd::kAnswered) {
    ClearSuspicion(request.m_facts.m_digest, now);
    const bool is_first = !request.m_live_attempts.empty();
    CancelLiveAttempts(request, false, now);
    m_sink(ForwardServerAnswer{id, attempt, is_hedge && is_first});
    RemoveRequest(id);
  } else {
    request.m_may_have_run |= !ProvesNotRun(report.m_end);
    if (ProvesNotRun(report.m_end)) {
      UndoTrial(request);
    }
    if (report.m_end == AttemptEnd::kLost) {
      CountLost(request, *server, under_way, report.m_server_ended, now);
    }
    // This outcome may have caused the request to be held back; it has been
    // refused then.
    const bool is_open = m_requests.contains(id);
    if (is_open && !request.m_awaits_check) {
      if (service.IsUneven()) {
        // Otherwise the retry would get a slot before those that wait for it.
        ServeWaiting(service, now);
      }
      RetryOrFail(request, attempt, report.m_end, now);
    }
  }
  ServeWaiting(service, now);
}

void Steering::RetryOrFail(SteeredRequest& request,
                           AttemptId attempt,
                           AttemptEnd end,
                           TimePoint now) {
  if (!request.m_live_attempts.empty() || request.m_peer_attempt) {
    return;
  }
  if (!ReachesServers() && PassOn(request, now)) {
    return;
  }
  // Checked first: MayRetry charges the retry budget.
  const bool can_finish = CanFinishSomewhere(request, now);
  if (ReachesServers() && can_finish && MayRetry(request, now)) {
    Dispatch(request, now);
    return;
  }
  if (end == AttemptEnd::kServerError || end == AttemptEnd::kDeadlineExceeded) {
    m_sink(ForwardServerAnswer{request.m_facts.m_request, attempt});
    RemoveRequest(request.m_facts.m_request);
    return;
  }
  if (!ReachesServers()) {
    Refuse(request, SteerRefusal::kNoServer, now);
    return;
  }
  Refuse(request,
         can_finish ? SteerRefusal::kRetriesSpent : SteerRefusal::kCannotFinish,
         now);
}

void Steering::ServeWaiting(SteeredService& service, TimePoint now) {
  auto& queue = service.Waiting();
  if (service.IsUneven()) {
    ReorderWaiting(service, now);
  }
  int misses = 0;
  for (auto it = queue.begin();
       it != queue.end() && misses < kMaxQueueMisses;) {
    SteeredRequest& request = m_requests.at(*it);
    const Choice choice = Choose(request, now);
    if (!CanFinish(request, choice, now)) {
      ++it;
      Refuse(request, SteerRefusal::kCannotFinish, now);
      continue;
    }
    const bool may_send = choice.m_fastest == choice.m_fastest_free ||
                          !CanFinishAtFastest(request, choice, now);
    if (!may_send || !TrySend(request, choice.m_fastest_free, now)) {
      ++misses;
      ++it;
      continue;
    }
    Dequeue(request);
    it = queue.erase(it);
  }
}

void Steering::ClientLeft(RequestId id, TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  const bool was_sent =
      !it->second.m_tried.empty() || !it->second.m_tried_peers.empty();
  if (!was_sent) {
    ReturnToken(it->second, now);
  }
  CancelLiveAttempts(it->second, false, now);
  RemoveRequest(id);
}

void Steering::CheckDeadline(SteeredRequest& request, TimePoint now) {
  if (request.m_awaits_table) {
    if (now >= request.m_deadline) {
      Refuse(request, SteerRefusal::kNotReady, now);
    }
    return;
  }
  if (request.m_awaits_token || request.m_awaits_server) {
    if (now >= request.m_deadline) {
      Refuse(request, SteerRefusal::kTooLate, now);
    }
    return;
  }
  if (now >= request.m_deadline) {
    const bool runs =
        !request.m_live_attempts.empty() || request.m_peer_attempt;
    CancelLiveAttempts(request, true, now);
    Refuse(request, runs ? SteerRefusal::kTimedOut : SteerRefusal::kTooLate,
           now);
    return;
  }
  if (request.m_is_queued) {
    // With a forecast, ReviewWaiting() decides what can still be answered.
    const Duration usual = Service(request.m_service).Usual().m_latency;
    const bool is_too_late =
        !HasForecast(request) && now + usual / 2 > request.m_deadline;
    if (is_too_late) {
      Refuse(request, SteerRefusal::kTooLate, now);
    } else if (IsDisplaced(request, now)) {
      Refuse(request, SteerRefusal::kOverloaded, now);
    }
    return;
  }
  SendHedge(request, now);
}

bool Steering::IsDisplaced(SteeredRequest& request, TimePoint now) {
  const bool was_displaced = std::exchange(request.m_was_displaced, false);
  if (!was_displaced || !request.m_rank.m_is_first_call ||
      !request.m_tried.empty()) {
    return false;
  }
  WaitBudget budget;
  budget.m_time_to_target =
      request.m_arrived - now + request.m_route->m_target_latency;
  budget.m_time_to_deadline = request.m_deadline - now;
  return !MayWait(QueueFor(request, request.m_queued_for.get(), now), budget);
}

void Steering::SendHedge(SteeredRequest& request, TimePoint now) {
  if (!request.m_route->m_idempotent || request.m_live_attempts.size() != 1 ||
      request.m_peer_attempt || IsSuspect(request, now)) {
    return;
  }
  SteeredService& service = Service(request.m_service);
  const bool is_active = ReachesServers() && service.Hedges().IsActive(now);
  if (is_active) {
    ServerState* const early = ChooseEarlyHedge(request, now);
    if (early != nullptr) {
      if (MayHedge(request, now)) {
        TrySend(request, early, now);
      }
      return;
    }
  }
  const Duration usual = service.Usual().m_latency;
  const Duration hedge_delay =
      std::max(kHedgeLatencyFactor * usual, request.m_route->m_target_latency);
  const Duration since_sent = now - request.m_live_attempts.front().m_sent;
  if (!ReachesServers() && since_sent >= hedge_delay) {
    PassOn(request, now);
    return;
  }
  if (usual == Duration::zero() || since_sent < hedge_delay) {
    return;
  }
  const Choice choice = Choose(request, now);
  ServerState* const server = choice.m_fastest_free;
  // A hedge is not worth a token that another request could be sent with.
  if (server == nullptr || server->Notices().MaxPerSecond() ||
      !CanFinishAtFree(request, choice, now)) {
    return;
  }
  if (!is_active || MayHedge(request, now)) {
    TrySend(request, server, now);
  }
}

ServerState* Steering::ChooseEarlyHedge(SteeredRequest& request,
                                        TimePoint now) {
  SteeredService& service = Service(request.m_service);
  const LiveAttempt& attempt = request.m_live_attempts.front();
  const AttemptProgress progress{
      .m_time_since_sent = now - attempt.m_sent,
      .m_queue_met = attempt.m_queue_met,
      .m_usual = service.Hedges().Usual(attempt.m_server->Region())};
  const Duration time_to_target =
      request.m_arrived + request.m_route->m_target_latency - now;
  if (time_to_target <= Duration::zero() || !HedgePolicy::IsOverdue(progress)) {
    return nullptr;
  }
  ServerState* const server = Choose(request, now).m_fastest_free;
  PickCriteria criteria;
  RegionServers* const servers = Candidates(request, criteria);
  if (server == nullptr || servers == nullptr) {
    return nullptr;
  }
  const size_t region = server->Region();
  const HedgeCandidate candidate{
      .m_has_free_slot = server->Waiting() == 0 &&
                         server->Occupancy(now, criteria.m_usual) + 1 <=
                             server->Entry().m_slots,
      .m_is_cached = m_picker.HasObjectCached(*servers, *server, criteria, now),
      .m_is_rate_limited =
          server->Notices().MaxPerSecond() ||
          m_picker.RateLimit(*server, RulesOf(request.m_service), now),
      .m_work_factor = server->WorkFactor(now),
      .m_usual = service.Hedges().Usual(region),
      .m_region_utilisation = service.Shares().Load(region)};
  return HedgePolicy::IsWorthwhile(candidate, time_to_target) ? server
                                                              : nullptr;
}

}  // namespace sorrelplank
