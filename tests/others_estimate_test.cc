/// @file others_estimate_test.cc A server's queue between its reports.

#include <criterion/criterion.h>

#include "steer/attempt_report_type.h"
#include "steer/others_estimate.h"

namespace sorrelplank {
namespace {

constexpr TimePoint kReported{seconds(10)};
constexpr uint32_t kSlots = 2;

OthersEstimate MakeEstimate(Duration work, double others) {
  OthersEstimate estimate;
  AttemptReport report;
  report.m_end = AttemptEnd::kAnswered;
  report.m_latency = work;
  estimate.AddAnswer(report, kSlots);
  estimate.Take(others, kReported);
  return estimate;
}

TestSuite(OthersEstimate);

Test(OthersEstimate, SlowServer_LongQueue_IsStillThereAfterAMoment) {
  const OthersEstimate estimate = MakeEstimate(milliseconds(500), 10);
  cr_assert_float_eq(estimate.At(kReported, 0, kSlots), 10, 0.01);
  cr_assert_gt(estimate.At(kReported + milliseconds(300), 0, kSlots), 5);
}

// No report comes any more. The server must not seem full for ever: nobody
// would send to it and nobody would learn otherwise.
Test(OthersEstimate, NoReport_ForLong_ServerSeemsFree) {
  const OthersEstimate estimate = MakeEstimate(milliseconds(500), 10);
  cr_assert_eq(estimate.At(kReported + seconds(2), 0, kSlots), 0);
}

Test(OthersEstimate, OwnRequestsBeside_EndsAreShared_FewerOfOthersEnd) {
  const OthersEstimate estimate = MakeEstimate(milliseconds(500), 10);
  const TimePoint later = kReported + milliseconds(300);
  cr_assert_gt(estimate.At(later, 10, kSlots), estimate.At(later, 0, kSlots));
}

}  // namespace
}  // namespace sorrelplank
