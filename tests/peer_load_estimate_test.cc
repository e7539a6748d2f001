/// @file peer_load_estimate_test.cc Estimate of a server's queue between its
/// load reports.

#include <criterion/criterion.h>

#include "steer/attempt_report_type.h"
#include "steer/peer_load_estimate.h"
#include "steer/service_baseline_type.h"

namespace sorrelplank {
namespace {

constexpr TimePoint kReported{seconds(10)};
constexpr uint32_t kSlots = 2;

PeerLoadEstimate MakeEstimate(Duration work, double others) {
  PeerLoadEstimate estimate;
  AttemptReport report;
  report.m_end = AttemptEnd::kAnswered;
  report.m_latency = work;
  estimate.AddAnswer(report, kSlots);
  estimate.SetReported(others, kReported);
  return estimate;
}

TestSuite(PeerLoadEstimate);

Test(PeerLoadEstimate, SlowServer_LongQueue_IsStillThereAfterAMoment) {
  const PeerLoadEstimate estimate = MakeEstimate(milliseconds(500), 10);
  cr_assert_float_eq(estimate.At(kReported, 0, kSlots, {}), 10, 0.01);
  cr_assert_gt(estimate.At(kReported + milliseconds(300), 0, kSlots, {}), 5);
}

// No more reports arrive. The server must not seem full forever: it would get
// no requests, and so no new report.
Test(PeerLoadEstimate, NoReport_ForLong_ServerSeemsFree) {
  const PeerLoadEstimate estimate = MakeEstimate(milliseconds(500), 10);
  cr_assert_eq(estimate.At(kReported + seconds(2), 0, kSlots, {}), 0);
}

Test(PeerLoadEstimate, OwnRequestsBeside_EndsAreShared_FewerOfOthersEnd) {
  const PeerLoadEstimate estimate = MakeEstimate(milliseconds(500), 10);
  const TimePoint later = kReported + milliseconds(300);
  cr_assert_gt(estimate.At(later, 10, kSlots, {}),
               estimate.At(later, 0, kSlots, {}));
}

// Guards against senders that take a full server for idle because they have no
// response of it themselves.
Test(PeerLoadEstimate, UnevenService_NoAnswerOfTheServer_QueueStillThere) {
  PeerLoadEstimate estimate;
  estimate.SetReported(10, kReported);
  const ServiceBaseline usual{.m_slot_time = milliseconds(500),
                              .m_is_uneven = true};
  const TimePoint later = kReported + milliseconds(200);
  cr_assert_gt(estimate.At(later, 0, kSlots, usual), 8);
  cr_assert_eq(estimate.At(later, 0, kSlots, {}), 0);
}

}  // namespace
}  // namespace sorrelplank
