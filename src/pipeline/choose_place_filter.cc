/// @file choose_place_filter.cc Cost of routes.

#include "pipeline/choose_place_filter.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Upper bound of a random cost that breaks ties between equal routes, so that
/// entry VMs with the same view do not all choose the same one.
constexpr double kMaxTieBreak = 0.05;

double InRunTimes(Duration duration, Duration run_time) {
  return ToMilliseconds(duration) / std::max(0.1, ToMilliseconds(run_time));
}

}  // namespace

const Route* ChoosePlaceFilter::Apply(const Call& call,
                                      const std::vector<Route>& routes,
                                      Duration run_time,
                                      double cost_of_waiting,
                                      std::mt19937_64& random,
                                      TimePoint now) const {
  const Policy& policy = m_snapshot.m_policy;
  std::uniform_real_distribution<double> tie(0, kMaxTieBreak);
  const Route* best = nullptr;
  double best_cost = cost_of_waiting;
  for (const Route& route : routes) {
    const double latency_cost =
        policy.m_latency_weight * InRunTimes(2 * route.m_latency, run_time);
    if (latency_cost >= best_cost) {
      // Routes are sorted by latency, so no later one can be cheaper.
      break;
    }
    if (!MayUse(call, route, now)) {
      continue;
    }
    const double busy = 1.0 - static_cast<double>(route.m_estimate->m_free) /
                                  std::max(1U, route.m_estimate->m_held);
    const double cost =
        latency_cost + policy.m_headroom_weight * busy + tie(random);
    if (cost < best_cost) {
      best = &route;
      best_cost = cost;
    }
  }
  return best;
}

double ChoosePlaceFilter::CostOfWaiting(Duration wait,
                                        Duration run_time) const {
  const Policy& policy = m_snapshot.m_policy;
  return policy.m_latency_weight * InRunTimes(wait, run_time) +
         policy.m_headroom_weight;
}

bool ChoosePlaceFilter::MayUse(const Call& call,
                               const Route& route,
                               TimePoint now) const {
  const SlotEstimate& estimate = *route.m_estimate;
  const bool is_due =
      estimate.m_retry_at != TimePoint{} && estimate.m_retry_at <= now;
  if (estimate.m_held == 0 || (estimate.m_free == 0 && !is_due)) {
    return false;
  }
  if (call.m_deadline - now <= 2 * route.m_latency) {
    return false;
  }
  const auto place = m_snapshot.FindPlace(route.m_place);
  const bool is_shift =
      call.m_home_place && *call.m_home_place != route.m_place;
  if (!place || (is_shift && m_snapshot.Get(*place).m_shift_cap == 0)) {
    return false;
  }
  return std::find(call.m_tried_peers.begin(), call.m_tried_peers.end(),
                   route.m_member->m_record.m_name) == call.m_tried_peers.end();
}

}  // namespace sorrelplank
