/// @file retry_budget_share_test.cc The retry budget of one entry VM.

#include "steer/retry_budget_share.h"

#include <criterion/criterion.h>

#include <utility>

namespace sorrelplank {
namespace {

constexpr Duration kWindow = seconds(10);

TestSuite(RetryBudgetShare);

Test(RetryBudgetShare, NoRequests_OnlyTheExtra_IsSpentOnce) {
  RetryBudgetShare budget(kWindow);
  const TimePoint now(seconds(100));
  cr_assert(budget.TrySpend(0.2, 2, now));
  cr_assert(budget.TrySpend(0.2, 2, now));
  cr_assert_not(budget.TrySpend(0.2, 2, now));
}

// Servers reject a large part of their requests for many seconds; clients see
// 503 for those that are not retried. If requests older than the window still
// count, the servers get more retries than the budget allows. This happened
// when the window's buckets were numbered with two different lengths.
Test(RetryBudgetShare, RequestsOlderThanTheWindow_NoLongerCount) {
  RetryBudgetShare budget(kWindow);
  TimePoint now(seconds(100000));
  for (int request = 0; request < 1000; ++request) {
    budget.CountRequest(now);
  }
  cr_assert(budget.TrySpend(0.2, 0, now));
  now += kWindow + seconds(1);
  cr_assert_not(budget.TrySpend(0.2, 0, now));
}

// In any ten seconds, retries stay within the ratio to the requests of about
// that time.
Test(RetryBudgetShare, SteadyRequests_EveryAttemptFails_StaysWithinTheRatio) {
  RetryBudgetShare budget(kWindow);
  int spent = 0;
  for (int step = 0; step < 3000; ++step) {
    const TimePoint now(seconds(50) + milliseconds(10) * step);
    budget.CountRequest(now);
    spent += budget.TrySpend(0.2, 0, now) ? 1 : 0;
  }
  cr_assert_leq(spent, 3000 / 5);
  cr_assert_geq(spent, 3000 / 6);
}

/// Retries in ten seconds of first calls and of the one in `returning`.
std::pair<int, int> SpendAll(RetryBudgetShare& budget,
                             int returning,
                             TimePoint start) {
  std::pair<int, int> spent;
  for (int step = 0; step < 1000; ++step) {
    const TimePoint now = start + milliseconds(10) * step;
    const bool returns = returning > 0 && step % returning == 0;
    budget.CountRequest(now);
    if (returns) {
      budget.CountReturningNeed(now);
      spent.second += budget.TrySpend(0.2, 0, now) ? 1 : 0;
    }
    spent.first += budget.TrySpendAsFirstCall(0.2, 0, now) ? 1 : 0;
  }
  return spent;
}

// Guards against first calls spending what returning requests need, against the
// two together exceeding the budget, and against a reserve that nobody uses.
Test(RetryBudgetShare, ManyThenFewReturn_FirstCallsLeaveWhatTheyNeed) {
  RetryBudgetShare budget(kWindow);
  SpendAll(budget, 0, TimePoint(seconds(100)));
  SpendAll(budget, 3, TimePoint(seconds(110)));
  const auto many = SpendAll(budget, 3, TimePoint(seconds(120)));
  cr_assert(many.second >= 85 && many.first >= 75);
  cr_assert_leq(many.first + many.second, 210);
  SpendAll(budget, 100, TimePoint(seconds(130)));
  const auto few = SpendAll(budget, 100, TimePoint(seconds(140)));
  cr_assert(few.second >= 9 && few.first >= 160);
}

}  // namespace
}  // namespace sorrelplank
