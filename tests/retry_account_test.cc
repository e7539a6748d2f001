/// @file retry_account_test.cc Which requests pay for retries.

#include "steer/retry_account.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

constexpr double kRatio = 0.2;
constexpr Duration kWindow = seconds(10);
/// Two of the window's 19 buckets.
constexpr double kCreditFraction = 2.0 / 19;

/// Spends what the account allows without an extra; returns the retries.
int SpendAll(RetryAccount& account, TimePoint now) {
  int retries = 0;
  for (; account.Allows(kRatio, 0, now); ++retries) {
    account.Spend(kRatio, now);
  }
  return retries;
}

TestSuite(RetryAccount);

// A VM spent the requests of a whole calm window at once. Those who had sent
// them then brought as much to the next VM.
Test(RetryAccount, CalmWindow_ThenFailures_OnlyRecentRequestsPay) {
  constexpr int kRequests = 1000;
  RetryAccount account(kWindow);
  TimePoint now(seconds(100));
  for (int request = 0; request < kRequests; ++request) {
    account.CountRequest(now);
    now += kWindow / kRequests;
  }
  const int retries = SpendAll(account, now);
  cr_assert_gt(retries, 0);
  cr_assert_leq(retries, kRatio * kRequests * kCreditFraction + 1);
}

// Guards against VMs with few requests that can never retry.
Test(RetryAccount, FewRequests_LongAgo_PayForOneRetry) {
  RetryAccount account(kWindow);
  TimePoint now(seconds(100));
  for (int request = 0; request < 15; ++request) {
    account.CountRequest(now);
    now += milliseconds(200);
  }
  now += seconds(3);
  cr_assert_eq(SpendAll(account, now), 1);
}

}  // namespace
}  // namespace sorrelplank
