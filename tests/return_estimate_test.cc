/// @file return_estimate_test.cc Which requests count as returning, and when
/// their callers return.

#include "steer/return_estimate.h"

#include <criterion/criterion.h>

#include <vector>

#include "steer/admission.h"
#include "steer/return_schedule.h"
#include "steer/routing_table_type.h"

namespace sorrelplank {
namespace {

constexpr Duration kBudget = seconds(4);

/// Requests on one route, 100 ms apart.
struct RouteLoad {
  ReturnEstimate m_returns;
  TimePoint m_now{seconds(100)};

  bool IsReturning(Duration time_left) {
    m_now += milliseconds(100);
    return m_returns.Observe("r", time_left, m_now) > Duration::zero();
  }
  bool AnyReturning(Duration time_left, int requests) {
    bool any = false;
    for (int request = 0; request < requests; ++request) {
      any |= IsReturning(time_left);
    }
    return any;
  }
};

// Guards against callers that repeat at once gaining the rank of those that
// waited, and against a VM recognising only those that it rejected itself.
Test(ReturnEstimate, ShorterBudget_ByTheShortestRetryAfter_IsReturning) {
  RouteLoad load;
  cr_assert_not(load.AnyReturning(kBudget, 10));
  cr_assert_not(load.IsReturning(kBudget - milliseconds(100)));
  cr_assert(load.IsReturning(kBudget - milliseconds(150)));
}

// Guards against losing the estimate when it matters: every first call is
// rejected, and half of the requests return.
Test(ReturnEstimate, HalfOfTheRequestsReturn_AllAreRecognised) {
  RouteLoad load;
  load.AnyReturning(kBudget, 10);
  for (int request = 0; request < 200; ++request) {
    cr_assert_not(load.IsReturning(kBudget));
    cr_assert(load.IsReturning(kBudget - milliseconds(160 + request * 5)));
  }
}

// Guards against ordering first calls by their callers' budgets.
Test(ReturnEstimate, BudgetsVary_NobodyReturns) {
  RouteLoad load;
  for (int request = 0; request < 200; ++request) {
    cr_assert_not(
        load.IsReturning(seconds(1) + milliseconds(request * 997 % 8000)));
  }
}

// Guards against all callers counting as returning for good after their budget
// was shortened.
Test(ReturnEstimate, BudgetChanges_IsLearnedWithinSeconds) {
  RouteLoad load;
  load.AnyReturning(kBudget, 100);
  load.AnyReturning(seconds(2), 60);
  cr_assert_not(load.AnyReturning(seconds(2), 100));
  cr_assert(load.IsReturning(milliseconds(1700)));
  load.AnyReturning(seconds(6), 60);
  cr_assert_not(load.AnyReturning(seconds(6), 100));
  cr_assert(load.IsReturning(kBudget));
}

// Guards against clients of a shorter budget counting as returning beside those
// of a longer one.
Test(ReturnEstimate, TwoKindsOfClients_ShorterBudget_IsNotReturning) {
  RouteLoad load;
  for (int request = 0; request < 100; ++request) {
    cr_assert_not(load.IsReturning(seconds(10)));
    cr_assert_not(load.IsReturning(seconds(4)));
  }
}

// Guards against growth over the versions of the routing table.
Test(ReturnEstimate, RouteRemoved_IsForgotten) {
  RouteLoad load;
  load.AnyReturning(kBudget, 10);
  load.m_returns.KeepRoutesOf(RoutingTable());
  cr_assert_eq(load.m_returns.RouteCount(), 0);
}

// Guards against callers rejected within 20 ms returning together, and against
// the latest of a large burst piling up at the longest time.
Test(ReturnSchedule, Burst_ReturnsAtThePaceOfTheQueue) {
  ReturnSchedule schedule;
  const QueueState queue{.m_ahead = 4, .m_completions_per_second = 20};
  std::vector<int> per_slot(31);
  for (uint64_t caller = 0; caller < 50; ++caller) {
    const TimePoint now =
        TimePoint(seconds(100)) + milliseconds(caller * 2 / 5);
    const Duration time =
        schedule.Next(queue, milliseconds(600), caller * 7, now);
    cr_assert(time >= kMinRetryAfter && time <= kMaxRetryAfter);
    ++per_slot[static_cast<size_t>(time / milliseconds(50))];
  }
  for (size_t slot = 6; slot < 30; ++slot) {
    cr_assert(per_slot[slot] >= 1 && per_slot[slot] <= 4);
  }
}

// Guards against callers that are told the longest time together, where the
// queue, or the time to the target, is longer than that.
Test(ReturnSchedule, WaitBeyondTheLongestTime_CallersAreSpread) {
  const TimePoint now(seconds(10));
  const QueueState queue{.m_ahead = 14, .m_completions_per_second = 9};
  for (const Duration in_time :
       {Duration(milliseconds(-100)), Duration(milliseconds(2350))}) {
    ReturnSchedule schedule;
    int at_longest = 0;
    for (uint64_t seed = 0; seed < 24; ++seed) {
      const Duration time = schedule.Next(queue, in_time, seed, now);
      cr_assert_leq(time.count(), kMaxRetryAfter.count());
      at_longest += time == kMaxRetryAfter ? 1 : 0;
    }
    cr_assert_leq(at_longest, 3);
  }
}

}  // namespace
}  // namespace sorrelplank
