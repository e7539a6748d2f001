/// @file region_latencies_test.cc Latencies of near and far servers.

#include <criterion/criterion.h>

#include <memory>

#include "steer/attempt_report_type.h"
#include "steer/region_latencies.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr size_t kNear = 0;
constexpr size_t kFar = 1;
constexpr uint32_t kSlots = 2;

struct RegionLatenciesFixture {
  RegionLatencies m_latencies{2};

  void Add(size_t region, Duration latency, ReportedLoad load) {
    AttemptReport report;
    report.m_end = AttemptEnd::kAnswered;
    report.m_latency = latency;
    report.m_load = load;
    m_latencies.Add(region, report, kSlots);
  }
};

std::unique_ptr<RegionLatenciesFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<RegionLatenciesFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(RegionLatencies, .init = SetUp, .fini = TearDown);

Test(RegionLatencies, FarRegion_SameSlotTime_OnlyNetworkLatencyDiffers) {
  for (int answer = 0; answer < 60; ++answer) {
    g_fixture->Add(kNear, milliseconds(150), {1, 0, kSlots});
    g_fixture->Add(kFar, milliseconds(260), {1, 0, kSlots});
  }
  cr_assert_float_eq(ToMilliseconds(g_fixture->m_latencies.Mean(kNear)), 150,
                     5);
  cr_assert_float_eq(ToMilliseconds(g_fixture->m_latencies.Mean(kFar)), 260, 5);
  cr_assert_float_eq(ToMilliseconds(g_fixture->m_latencies.SlotTime(kFar)), 150,
                     20);
}

// Four requests at two slots: half of the latency was spent in the queue.
Test(RegionLatencies, ServerFull_QueueTime_IsNotSlotTime) {
  g_fixture->Add(kNear, milliseconds(300), {2, 2, kSlots});
  cr_assert_float_eq(ToMilliseconds(g_fixture->m_latencies.SlotTime(kNear)),
                     150, 1);
}

Test(RegionLatencies, RegionWithoutResponses_Mean_IsThatOfAllRegions) {
  g_fixture->Add(kFar, milliseconds(260), {1, 0, kSlots});
  cr_assert_float_eq(ToMilliseconds(g_fixture->m_latencies.Mean(kNear)), 260,
                     1);
}

// Most requests of a caller's region are served far away in 300 ms each; near
// servers take 80 ms. Twelve requests for the four near slots arrive at once.
// All can be answered within the target latency of 400 ms, so those without a
// slot must wait. With one mean over all regions some of them were refused.
Test(RegionLatencies, MostResponsesFromFarRegion_NearServersFull_RequestsWait) {
  SteeringFixture steering;
  steering.PutServer("far", "d3");
  steering.Pass(milliseconds(200));
  RouteRule far = MakeRoute("/far/", true);
  far.m_home_regions = {"r2"};
  RouteRule near = MakeRoute("/near/", true);
  near.m_home_regions = {"r1"};
  steering.Install(2, {far, near});
  const auto answer = [&](const char* path, Duration latency) {
    for (uint64_t object = 0; object < 60; ++object) {
      const size_t sent = steering.Count<SendToServer>();
      steering.Arrive(path, object);
      cr_assert_eq(steering.Count<SendToServer>(), sent + 1);
      AttemptReport report;
      report.m_end = AttemptEnd::kAnswered;
      report.m_latency = latency;
      const SendToServer& send = *steering.Last<SendToServer>();
      steering.m_steering.Ended(send.m_request, send.m_attempt, report,
                                steering.m_now);
    }
  };
  answer("/near/x", milliseconds(80));
  answer("/far/x", milliseconds(300));
  for (uint64_t object = 0; object < 12; ++object) {
    steering.Arrive("/near/x", object);
  }
  cr_assert_eq(steering.m_steering.WaitingCount(), 6);
  cr_assert_eq(steering.Count<RefuseRequest>(), 0);
}

}  // namespace
}  // namespace sorrelplank
