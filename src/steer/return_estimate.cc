/// @file return_estimate.cc Longest time budgets by route.

#include "steer/return_estimate.h"

#include <algorithm>
#include <set>

#include "steer/admission.h"
#include "steer/routing_table_type.h"

namespace sorrelplank {

namespace {

/// Length of a period. A VM gets 1.4 requests a second on the rarest routes, so
/// a period has about four of them, and a changed budget is learned within 6 s.
constexpr Duration kPeriod = seconds(3);
/// Requests on a route before its budget counts as known.
constexpr uint32_t kMinRequests = 4;
/// Fraction of the requests that must have about the longest budget; with fewer
/// it varies. If every first call is rejected and returns once, first calls are
/// half of the requests, and the rest is margin for chance.
constexpr double kMinFractionAtLongest = 0.4;

/// Largest fraction of the budget that a first attempt and the wait after it
/// take. A still shorter budget belongs to another kind of client.
constexpr double kMaxElapsedFraction = 0.5;

}  // namespace

void ReturnEstimate::Period::Add(Duration time_left) {
  ++m_requests;
  if (time_left >= m_longest + kMinRetryAfter) {
    m_longest = time_left;
    m_at_longest = 1;
    return;
  }
  m_at_longest += time_left > m_longest - kMinRetryAfter ? 1 : 0;
  m_longest = std::max(m_longest, time_left);
}

void ReturnEstimate::RouteBudgets::Advance(TimePoint now) {
  if (now - m_started < kPeriod) {
    return;
  }
  m_previous = now - m_started < 2 * kPeriod ? m_current : Period();
  m_current = {};
  m_started = now;
}

Duration ReturnEstimate::Observe(const std::string& route,
                                 Duration time_left,
                                 TimePoint now) {
  RouteBudgets& budgets = m_routes[route];
  budgets.Advance(now);
  budgets.m_current.Add(time_left);
  const Duration longest =
      std::max(budgets.m_current.m_longest, budgets.m_previous.m_longest);
  uint32_t at_longest = 0;
  uint32_t requests = 0;
  for (const Period* period : {&budgets.m_current, &budgets.m_previous}) {
    requests += period->m_requests;
    if (period->m_longest > longest - kMinRetryAfter) {
      at_longest += period->m_at_longest;
    }
  }
  const bool is_known = requests >= kMinRequests &&
                        at_longest >= kMinFractionAtLongest * requests;
  const Duration elapsed = longest - time_left;
  const bool is_plausible =
      elapsed >= kMinRetryAfter && elapsed <= longest * kMaxElapsedFraction;
  return is_known && is_plausible ? elapsed : Duration::zero();
}

void ReturnEstimate::KeepRoutesOf(const RoutingTable& table) {
  std::set<std::string> names;
  for (const RouteRule& route : table.m_routes) {
    names.insert(route.m_name);
  }
  std::erase_if(m_routes, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

}  // namespace sorrelplank
