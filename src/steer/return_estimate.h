/// @file return_estimate.h Which requests were sent before and rejected.

#ifndef SORRELPLANK_STEER_RETURN_ESTIMATE_H_
#define SORRELPLANK_STEER_RETURN_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

struct RoutingTable;

/// Recognises requests that a caller sends again, by their time budgets.
///
/// Load pattern: more requests than slots. Callers that are rejected return
/// once after `Retry-After`, at any VM, and a second rejection is final for
/// them. All first calls of a route state the same time budget, so a budget
/// that is shorter than the longest recent one by the shortest `Retry-After` or
/// more belongs to a request that was sent before. No state is kept for single
/// callers, so nothing is lost with the VM that rejected them.
class ReturnEstimate {
 public:
  /// Records a request's time budget. Returns the time since its caller first
  /// sent it; zero if this is the first time, or if the route's budget is
  /// unknown or varies.
  Duration Observe(const std::string& route, Duration time_left, TimePoint now);

  /// Discards what is known of routes that the table does not contain.
  void KeepRoutesOf(const RoutingTable& table);

  size_t RouteCount() const { return m_routes.size(); }

 private:
  /// Budgets seen within one period.
  struct Period {
    Duration m_longest{};
    /// Requests with about the longest budget.
    uint32_t m_at_longest = 0;
    uint32_t m_requests = 0;

    void Add(Duration time_left);
  };

  /// The current period and the one before, so that a change is learned within
  /// two periods.
  struct RouteBudgets {
    TimePoint m_started;
    Period m_current;
    Period m_previous;

    void Advance(TimePoint now);
  };

  std::map<std::string, RouteBudgets> m_routes;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETURN_ESTIMATE_H_
