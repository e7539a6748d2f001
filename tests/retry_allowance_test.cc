/// @file retry_allowance_test.cc The retry budget of one entry VM.

#include "steer/retry_allowance.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

constexpr Duration kWindow = seconds(10);

TestSuite(RetryAllowance);

Test(RetryAllowance, NoRequests_ExtraAlone_IsSpentOnce) {
  RetryAllowance allowance(kWindow);
  const TimePoint now(seconds(100));
  cr_assert(allowance.TrySpend(0.2, 2, now));
  cr_assert(allowance.TrySpend(0.2, 2, now));
  cr_assert_not(allowance.TrySpend(0.2, 2, now));
}

// Servers reject a large part of what they get for many seconds. Clients see
// 503 for what is not sent again; the servers see more second sends than the
// budget allows where requests of long ago still count, since the window's
// ticks had been numbered by two lengths.
Test(RetryAllowance, OldRequests_BehindTheWindow_CountNoMore) {
  RetryAllowance allowance(kWindow);
  TimePoint now(seconds(100000));
  for (int request = 0; request < 1000; ++request) {
    allowance.CountRequest(now);
  }
  cr_assert(allowance.TrySpend(0.2, 0, now));
  now += kWindow + seconds(1);
  cr_assert_not(allowance.TrySpend(0.2, 0, now));
}

// In any ten seconds, wherever they begin, second sends stay within the part
// of the requests of about that time.
Test(RetryAllowance, SteadyRequests_EverySendFails_StaysWithinThePart) {
  RetryAllowance allowance(kWindow);
  int spent = 0;
  for (int step = 0; step < 3000; ++step) {
    const TimePoint now(seconds(50) + milliseconds(10) * step);
    allowance.CountRequest(now);
    spent += allowance.TrySpend(0.2, 0, now) ? 1 : 0;
  }
  cr_assert_leq(spent, 3000 / 5);
  cr_assert_geq(spent, 3000 / 6);
}

}  // namespace
}  // namespace sorrelplank
