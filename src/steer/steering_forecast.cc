/// @file steering_forecast.cc Requests that no server can answer in time.

#include <algorithm>
#include <map>
#include <vector>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

AnswerTime TimeOf(const SteeredRequest& request, TimePoint now) {
  return {.m_left = request.m_deadline - now,
          .m_full = request.m_deadline - request.m_arrived};
}

}  // namespace

SendForecast Steering::ForecastAt(const SteeredRequest& request,
                                  const ServerState& server,
                                  bool is_cached,
                                  TimePoint now) {
  SteeredService& service = Service(request.m_service);
  SendConditions conditions =
      service.ConditionsAt(server, request.m_route->m_name, now);
  conditions.m_is_cached = is_cached;
  for (const RequestId id : service.Waiting()) {
    const SteeredRequest& other = m_requests.at(id);
    if (&other == &request || request.m_rank.GoesBefore(other.m_rank)) {
      break;
    }
    conditions.m_queued_ahead += other.m_queued_for.get() == &server ? 1 : 0;
  }
  return SendForecast(conditions);
}

bool Steering::CanFinish(const SteeredRequest& request,
                         const Choice& choice,
                         TimePoint now) {
  return CanFinishAtFastest(request, choice, now) ||
         (choice.m_fastest_free != nullptr &&
          CanFinishAtFree(request, choice, now));
}

bool Steering::CanFinishAtFastest(const SteeredRequest& request,
                                  const Choice& choice,
                                  TimePoint now) {
  return choice.m_fastest == nullptr || !HasForecast(request) ||
         ForecastAt(request, *choice.m_fastest, choice.m_is_fastest_cached, now)
             .CanFinish(TimeOf(request, now));
}

bool Steering::CanFinishSomewhere(SteeredRequest& request, TimePoint now) {
  return !HasForecast(request) || CanFinish(request, Choose(request, now), now);
}

bool Steering::CanFinishAtFree(const SteeredRequest& request,
                               const Choice& choice,
                               TimePoint now) {
  return choice.m_fastest_free == nullptr || !HasForecast(request) ||
         ForecastAt(request, *choice.m_fastest_free,
                    choice.m_is_fastest_free_cached, now)
             .CanFinish(TimeOf(request, now));
}

bool Steering::HasForecast(const SteeredRequest& request) {
  const SteeredService& service = Service(request.m_service);
  return service.IsUneven() && service.KnowsWork(request.m_route->m_name);
}

void Steering::ReviewWaiting(SteeredService& service, TimePoint now) {
  if (!service.IsUneven()) {
    return;
  }
  std::map<const ServerState*, size_t> ahead;
  const std::vector<RequestId> waiting(service.Waiting().begin(),
                                       service.Waiting().end());
  for (const RequestId id : waiting) {
    SteeredRequest& request = m_requests.at(id);
    const ServerState* const server = request.m_queued_for.get();
    SendConditions conditions =
        service.ConditionsAt(*server, request.m_route->m_name, now);
    conditions.m_queued_ahead = ahead[server];
    // Cheaper than a choice, which is only made for a request that its own
    // server cannot answer in time, even if it has the object cached.
    if (SendForecast(conditions).CanFinish(TimeOf(request, now))) {
      ++ahead[server];
      continue;
    }
    const Choice choice = Choose(request, now);
    if (!CanFinish(request, choice, now)) {
      Refuse(request, SteerRefusal::kCannotFinish, now);
    } else if (!CanFinishAtFastest(request, choice, now) &&
               TrySend(request, choice.m_fastest_free, now)) {
      Dequeue(request);
      service.Waiting().remove(id);
    } else {
      ++ahead[server];
    }
  }
}

void Steering::ExplainCannotFinish(RefuseRequest& refusal,
                                   const SteeredRequest& request,
                                   const Choice& choice,
                                   TimePoint now) {
  if (choice.m_fastest == nullptr) {
    return;
  }
  const SendForecast forecast =
      ForecastAt(request, *choice.m_fastest, choice.m_is_fastest_cached, now);
  refusal.m_time_to_answer = forecast.TimeToAnswer().value_or(Duration::zero());
  refusal.m_time_left = request.m_deadline - now;
  // Callers come back once. Returning before the queue here has drained, they
  // would be refused for good.
  refusal.m_retry_after =
      std::max(refusal.m_retry_after,
               RetryAfterTime(forecast.TimeUntilItCan(TimeOf(request, now)),
                              refusal.m_request.Get()));
}

}  // namespace sorrelplank
