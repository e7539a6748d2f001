/// @file steering_requests.cc The way of one request: send, wait, send again.

#include <algorithm>
#include <utility>

#include "steer/idle_connections_func.h"
#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Waiting requests that are looked at in a row without one finding a server;
/// then the service is taken as full.
constexpr int kMostMisses = 8;
/// A second copy goes out once a send takes this many usual latencies. Work on
/// an object that is not warm takes 3.3, and as long again in a server's queue;
/// a copy for those would only take slots.
constexpr int kSecondCopyFactor = 8;
/// A second send with less time left than this, or than half of the usual
/// latency, would cost a server work that nobody waits for.
constexpr Duration kLeastSendTime = milliseconds(50);
/// Part of the retry ratio that is used. The window of one VM ends at another
/// moment than that of the sum over all, by a tick of a twentieth.
constexpr double kRetryRatioPart = 0.9;
/// Part of the retry extra that is used: a VM that restarts has forgotten what
/// it spent in the window and begins with all of its part again.
constexpr double kRetryExtraPart = 0.45;
/// Servers that one request tries in all. Each one that is down and not yet
/// known to be so costs a round trip, or the time limit on opening a
/// connection.
constexpr size_t kMostTries = 5;

}  // namespace

void Steering::Place(SteeredRequest& request, TimePoint now) {
  Choice choice = Choose(request, now);
  // Those who wait for the same server would have been sent if it had room.
  while (choice.m_first != nullptr && choice.m_first == choice.m_free) {
    if (TrySend(request, choice.m_first, now)) {
      return;
    }
    if (m_server_limits.MayTry(*choice.m_first, now)) {
      break;
    }
    choice = Choose(request, now);
  }
  if (choice.m_first == nullptr) {
    Refuse(request, SteerRefusal::kNoServer, now);
    return;
  }
  WaitNeed need;
  need.m_until_target =
      request.m_arrived - now + request.m_route->m_target_latency;
  need.m_until_end = request.m_finish_by - now;
  const LineState line = Service(request.m_service).Line(choice.m_first, now);
  if (MayWait(line, need)) {
    Wait(request, choice.m_first);
    return;
  }
  if (TrySend(request, choice.m_free, now)) {
    return;
  }
  Refuse(request, SteerRefusal::kOverloaded, now);
}

void Steering::Wait(SteeredRequest& request, ServerTrack* server) {
  auto& line = Service(request.m_service).Waiting();
  request.m_waits = true;
  request.m_waits_for = m_servers.at(server->Entry().m_instance);
  request.m_waits_for->AddWaiting();
  const auto later = std::find_if(line.begin(), line.end(), [&](RequestId id) {
    return request.m_rank.GoesBefore(m_requests.at(id).m_rank);
  });
  line.insert(later, request.m_facts.m_request);
}

void Steering::StopWaiting(SteeredRequest& request) {
  request.m_waits = false;
  request.m_waits_for->RemoveWaiting();
  request.m_waits_for.reset();
}

void Steering::MoveWaiting(const ServerTrack& server, TimePoint now) {
  std::list<RequestId>& line = Service(server.Entry().m_service).Waiting();
  std::vector<RequestId> moved;
  for (const RequestId id : line) {
    if (m_requests.at(id).m_waits_for.get() == &server) {
      moved.push_back(id);
    }
  }
  for (const RequestId id : moved) {
    SteeredRequest& request = m_requests.at(id);
    line.remove(id);
    StopWaiting(request);
    Place(request, now);
  }
}

bool Steering::MaySendAgain(SteeredRequest& request, TimePoint now) {
  if (request.m_resend_paid) {
    return true;
  }
  if (request.m_arrivals >= request.m_route->m_max_sends ||
      request.m_tried.size() >= kMostTries) {
    return false;
  }
  if (request.m_may_have_run && !request.m_route->m_idempotent) {
    return false;
  }
  if (request.m_lost_sends > 0 && MayCrashNext(request, now)) {
    return false;
  }
  const Duration usual = Service(request.m_service).Usual().m_latency;
  if (request.m_finish_by - now < std::max(kLeastSendTime, usual / 2)) {
    return false;
  }
  if (request.m_arrivals == 0) {
    // The budget protects servers from more work than the callers ask for. What
    // reached none is no work; paid for it, the budget was spent within a
    // second of a failure domain's loss, and all that met its servers were
    // refused.
    return true;
  }
  const double vms =
      std::max<double>(1, static_cast<double>(m_picker.Fleet().size()));
  request.m_resend_paid =
      Service(request.m_service)
          .Retries()
          .TrySpend(m_settings.m_retry_ratio * kRetryRatioPart,
                    m_settings.m_retry_extra * kRetryExtraPart / vms, now);
  return request.m_resend_paid;
}

bool Steering::TrySend(SteeredRequest& request,
                       ServerTrack* server,
                       TimePoint now) {
  if (server == nullptr || !m_picker.MaySend(*server, now)) {
    return false;
  }
  if (!request.m_tried.empty() && !MaySendAgain(request, now)) {
    return false;
  }
  const auto rate_limit =
      m_picker.RateLimit(*server, RulesOf(request.m_service), now);
  if (rate_limit && !server->TryTakeRate(*rate_limit, now)) {
    return false;
  }
  if (server->Notices().MaxPerSecond()) {
    return TakeServerToken(request, server, now);
  }
  Send(request, server, now);
  return true;
}

void Steering::Send(SteeredRequest& request,
                    ServerTrack* server,
                    TimePoint now) {
  const AttemptId attempt(m_next_attempt++);
  const ServerEntry& entry = server->Entry();
  server->CountSend(now);
  if (m_picker.Breaker(entry.m_failure_domain).CountSend(now)) {
    UpdateShares(now);
  }
  server->MarkWarmFor(request.m_facts.m_object, now);
  request.m_resend_paid = false;
  request.m_live.push_back({attempt, m_servers.at(entry.m_instance), now});
  request.m_tried.push_back(entry.m_instance);
  ++request.m_arrivals;
  const size_t most_kept = MaxIdleConnections(
      RulesOf(entry.m_service).m_max_connections, m_picker.Fleet().size());
  m_sink(
      SendToServer{.m_request = request.m_facts.m_request,
                   .m_attempt = attempt,
                   .m_instance = entry.m_instance,
                   .m_address = entry.m_address,
                   .m_time_left = request.m_finish_by - now,
                   .m_idempotent = request.m_route->m_idempotent,
                   .m_organisation = NameOf(request.m_organisation),
                   .m_keeps_key = request.m_table->m_organisations.has_value(),
                   .m_most_kept = most_kept,
                   .m_service = request.m_service,
                   .m_region = m_regions[server->Region()],
                   .m_occupancy = server->Occupancy(now),
                   .m_waited = now - request.m_arrived,
                   .m_passed_over = request.m_passed_over,
                   .m_table_version = request.m_table->m_version});
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
      request.m_live.begin(), request.m_live.end(),
      [&](const LiveAttempt& one) { return one.m_attempt == attempt; });
  if (live == request.m_live.end()) {
    return;
  }
  const std::shared_ptr<ServerTrack> server = live->m_server;
  CountEnd(*server, report, now);
  if (report.m_end == AttemptEnd::kWrongInstance) {
    server->MarkGone();
    if (IsListed(*server)) {
      Service(server->Entry().m_service)
          .ListOf(*server)
          .NoteStanding(server.get());
    }
  }
  request.m_live.erase(live);
  if (report.m_end == AttemptEnd::kNotSent) {
    --request.m_arrivals;
  }
  SteeredService& service = Service(request.m_service);
  service.CountEnd(*server, report);
  if (!m_picker.MaySend(*server, now)) {
    MoveWaiting(*server, now);
  }
  if (report.m_end == AttemptEnd::kAnswered) {
    ClearSuspicion(request.m_facts.m_digest, now);
    CancelLive(request, false, now);
    m_sink(ForwardServerAnswer{id, attempt});
    Forget(id);
  } else {
    request.m_may_have_run |= !ProvesNotRun(report.m_end);
    if (report.m_end == AttemptEnd::kLost) {
      CountLost(request, *server, report.m_server_ended, now);
    }
    // Held back by what this end tells, it has its answer already.
    const bool is_open = m_requests.contains(id);
    if (is_open && !request.m_awaits_check) {
      Recover(request, attempt, report.m_end, now);
    }
  }
  ServeWaiting(service, now);
}

void Steering::Recover(SteeredRequest& request,
                       AttemptId attempt,
                       AttemptEnd end,
                       TimePoint now) {
  if (!request.m_live.empty()) {
    return;
  }
  if (MaySendAgain(request, now)) {
    Place(request, now);
    return;
  }
  if (end == AttemptEnd::kServerError || end == AttemptEnd::kOutOfTime) {
    m_sink(ForwardServerAnswer{request.m_facts.m_request, attempt});
    Forget(request.m_facts.m_request);
    return;
  }
  Refuse(request, SteerRefusal::kRetriesSpent, now);
}

void Steering::ServeWaiting(SteeredService& service, TimePoint now) {
  auto& line = service.Waiting();
  int misses = 0;
  for (auto it = line.begin(); it != line.end() && misses < kMostMisses;) {
    SteeredRequest& request = m_requests.at(*it);
    const Choice choice = Choose(request, now);
    const bool may_send = choice.m_first == choice.m_free;
    if (!may_send || !TrySend(request, choice.m_free, now)) {
      ++misses;
      ++it;
      continue;
    }
    StopWaiting(request);
    it = line.erase(it);
  }
}

void Steering::ClientLeft(RequestId id, TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  const bool was_sent = !it->second.m_tried.empty();
  if (!was_sent) {
    ReturnToken(it->second, now);
  }
  CancelLive(it->second, false, now);
  Forget(id);
}

void Steering::CheckTime(SteeredRequest& request, TimePoint now) {
  if (request.m_awaits_table) {
    if (now >= request.m_finish_by) {
      Refuse(request, SteerRefusal::kNotReady, now);
    }
    return;
  }
  if (request.m_awaits_token || request.m_awaits_server) {
    if (now >= request.m_finish_by) {
      Refuse(request, SteerRefusal::kTooLate, now);
    }
    return;
  }
  if (now >= request.m_finish_by) {
    const bool runs = !request.m_live.empty();
    CancelLive(request, true, now);
    Refuse(request, runs ? SteerRefusal::kTimedOut : SteerRefusal::kTooLate,
           now);
    return;
  }
  if (request.m_waits) {
    const Duration usual = Service(request.m_service).Usual().m_latency;
    if (now + usual / 2 > request.m_finish_by) {
      Refuse(request, SteerRefusal::kTooLate, now);
    }
    return;
  }
  SendSecondCopy(request, now);
}

void Steering::SendSecondCopy(SteeredRequest& request, TimePoint now) {
  if (!request.m_route->m_idempotent || request.m_live.size() != 1 ||
      IsSuspect(request, now)) {
    return;
  }
  const Duration usual = Service(request.m_service).Usual().m_latency;
  const Duration patience =
      std::max(kSecondCopyFactor * usual, request.m_route->m_target_latency);
  if (usual == Duration::zero() ||
      now - request.m_live.front().m_sent < patience) {
    return;
  }
  ServerTrack* const server = Choose(request, now).m_free;
  // A copy is not worth a token that another request may be sent with.
  if (server != nullptr && !server->Notices().MaxPerSecond()) {
    TrySend(request, server, now);
  }
}

}  // namespace sorrelplank
