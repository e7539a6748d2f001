/// @file steering_forecast_test.cc Entry VMs refuse what no server can answer
/// in time.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr uint32_t kSlots = 6;
constexpr uint32_t kServerQueue = 18;
constexpr Duration kWork = milliseconds(650);
constexpr Duration kTimeout = milliseconds(2500);
constexpr Duration kStep = milliseconds(10);
constexpr size_t kVms = 4;

/// VM, and its attempt.
using Job = std::pair<size_t, AttemptId>;

/// Two servers of the VMs' region that serve their queues in order of arrival.
/// The other region has most of the slots, so that the service counts as
/// uneven, unless it has none.
struct SharedServers {
  std::vector<std::unique_ptr<SteeringFixture>> m_vms;
  /// Number of actions applied, by VM.
  std::vector<size_t> m_applied;
  std::map<std::string, std::vector<std::pair<Job, Duration>>> m_servers;
  std::map<Job, std::pair<SendToServer, TimePoint>> m_sends;
  std::map<SteerRefusal, size_t> m_refusals;
  size_t m_answered = 0;
  double m_due = 0;
  uint64_t m_arrived = 0;

  explicit SharedServers(bool is_uneven = true) {
    RouteRule route = MakeRoute("/read/", true);
    route.m_timeout = kTimeout;
    route.m_target_latency = seconds(3);
    route.m_home_regions = {"r1"};
    for (size_t vm = 0; vm < kVms; ++vm) {
      m_vms.push_back(std::make_unique<SteeringFixture>());
      SteeringFixture& fixture = *m_vms.back();
      fixture.Install(2, {route});
      fixture.m_steering.RemoveServer("a", fixture.m_now);
      fixture.m_steering.RemoveServer("b", fixture.m_now);
      Put(fixture, "x", "d1", kSlots);
      Put(fixture, "y", "d2", kSlots);
      if (is_uneven) {
        Put(fixture, "z", "d3", 60);
      }
      fixture.Pass(milliseconds(200));
      m_applied.push_back(fixture.m_actions.size());
    }
  }

  static void Put(SteeringFixture& fixture,
                  const std::string& name,
                  const std::string& domain,
                  uint32_t slots) {
    fixture.m_steering.PutServer(
        {name, "s", {1, 80}, domain, slots, false, {}, {}}, fixture.m_now);
  }

  /// Lets requests arrive at the VMs by turns, at a multiple of the capacity.
  void Play(Duration time, double capacities) {
    for (Duration passed{}; passed < time; passed += kStep) {
      m_due += capacities * 2 * kSlots * ToMilliseconds(kStep) /
               ToMilliseconds(kWork);
      for (; m_due >= 1; m_due -= 1) {
        ++m_arrived;
        m_vms[m_arrived % kVms]->Arrive("/read/x", m_arrived * 7 % 31);
      }
      Step(passed % milliseconds(100) == Duration::zero());
    }
  }

  void Step(bool shares_loads) {
    for (auto& [name, jobs] : m_servers) {
      for (size_t slot = 0; slot < std::min<size_t>(kSlots, jobs.size());
           ++slot) {
        jobs[slot].second -= kStep;
      }
      while (!jobs.empty() && jobs.front().second <= Duration::zero()) {
        const Job done = jobs.front().first;
        jobs.erase(jobs.begin());
        End(done, AttemptEnd::kAnswered);
      }
    }
    for (size_t vm = 0; vm < kVms; ++vm) {
      SteeringFixture& fixture = *m_vms[vm];
      if (shares_loads) {
        const auto loads = fixture.m_steering.TakeUnsharedLoads(fixture.m_now);
        for (const auto& other : m_vms) {
          other->m_steering.ApplyPeerLoads(loads, other->m_now);
        }
      }
      fixture.m_now += kStep;
      fixture.m_steering.Tick(fixture.m_now);
      // Applying an action may add others.
      for (; m_applied[vm] < fixture.m_actions.size(); ++m_applied[vm]) {
        Apply(vm, SteerAction(fixture.m_actions[m_applied[vm]]));
      }
    }
  }

  void Apply(size_t vm, const SteerAction& action) {
    if (const auto* send = std::get_if<SendToServer>(&action)) {
      const Job job{vm, send->m_attempt};
      m_sends[job] = {*send, m_vms[vm]->m_now};
      if (m_servers[send->m_instance].size() < kSlots + kServerQueue) {
        m_servers[send->m_instance].emplace_back(job, kWork);
      } else {
        End(job, AttemptEnd::kRejected);
      }
    } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
      for (auto& [name, jobs] : m_servers) {
        std::erase_if(jobs, [&](const auto& one) {
          return one.first == Job(vm, cancel->m_attempt);
        });
      }
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      ++m_refusals[refusal->m_reason];
    }
    m_answered += std::holds_alternative<ForwardServerAnswer>(action) ? 1 : 0;
  }

  void End(const Job& job, AttemptEnd end) {
    SteeringFixture& fixture = *m_vms[job.first];
    const auto& [send, sent] = m_sends.at(job);
    const auto there = static_cast<uint32_t>(m_servers[send.m_instance].size());
    const uint32_t running = std::min(kSlots, there);
    AttemptReport report;
    report.m_end = end;
    report.m_load = {running, there - running, kSlots};
    report.m_latency = fixture.m_now - sent;
    fixture.m_steering.Ended(send.m_request, send.m_attempt, report,
                             fixture.m_now);
  }

  /// The first VM hears that the servers' queues are full.
  SteeringFixture& VmThatKnowsFullServers() {
    SteeringFixture& vm = *m_vms.front();
    for (const char* name : {"x", "y"}) {
      vm.m_steering.ApplyPeerLoads(
          {{HashName(name), {kSlots, kServerQueue, kSlots}, {}}}, vm.m_now);
    }
    return vm;
  }
};

TestSuite(SteeringForecast);

// Guards against requests that wait at the VM or in a server's queue until too
// little time is left for their work, and are cancelled at the timeout.
Test(SteeringForecast, Burst_SharedServers_HardlyAnyCutOffAsManyAnswered) {
  SharedServers shared;
  shared.Play(seconds(8), 0.5);
  shared.m_answered = 0;
  shared.Play(seconds(6), 1.5);
  shared.Play(seconds(4), 0);
  // Without forecasts, 44 are cut off and 118 answered.
  cr_expect_leq(shared.m_refusals[SteerRefusal::kTimedOut], 3U);
  cr_expect_geq(shared.m_answered, 118U);
  cr_expect_gt(shared.m_refusals[SteerRefusal::kCannotFinish], 0U);
}

// Guards against callers that wait for a refusal, or come back before a server
// can answer them.
Test(SteeringForecast, FullServers_AtOnce_RefusedAsNotRunWithRetryAfter) {
  SharedServers shared;
  shared.Play(seconds(8), 0.5);
  SteeringFixture& vm = shared.VmThatKnowsFullServers();
  vm.Arrive("/read/x");
  const RefuseRequest& refusal = *vm.Last<RefuseRequest>();
  cr_assert_eq(refusal.m_reason, SteerRefusal::kCannotFinish);
  cr_assert_eq(refusal.m_waited.count(), 0);
  cr_assert_gt(refusal.m_time_to_answer, kTimeout);
  cr_assert_geq(refusal.m_retry_after, refusal.m_time_to_answer - kTimeout);
  cr_assert_leq(refusal.m_retry_after, milliseconds(1500));
  const SteerRefusalRow& row = DescribeSteerRefusal(refusal.m_reason);
  cr_assert_eq(row.m_status, 503);
  cr_assert_eq(row.m_verdict, Verdict::kNotRun);
}

// Guards against refusals by a VM that has just started.
Test(SteeringForecast, FullServers_NoResponseYet_NotRefusedByForecast) {
  SharedServers shared;
  SteeringFixture& vm = shared.VmThatKnowsFullServers();
  vm.Arrive("/read/x");
  cr_assert(vm.Last<RefuseRequest>() == nullptr ||
            vm.LastReason() != SteerRefusal::kCannotFinish);
}

// Guards against other decisions in services with even capacity.
Test(SteeringForecast, FullServers_EvenService_NotRefusedByForecast) {
  SharedServers shared(false);
  shared.Play(seconds(8), 0.5);
  shared.Play(seconds(6), 3);
  cr_assert_eq(shared.m_refusals[SteerRefusal::kCannotFinish], 0U);
}

// Guards against a status that says not run for a request that may have run.
Test(SteeringForecast, MayHaveRun_OtherServerFull_RefusedAsLost) {
  SharedServers shared;
  shared.Play(seconds(8), 0.5);
  SteeringFixture& vm = *shared.m_vms.front();
  vm.Arrive("/read/x");
  const SendToServer send = *vm.Last<SendToServer>();
  shared.VmThatKnowsFullServers();
  vm.End(send, AttemptEnd::kLost);
  vm.m_steering.ServerChecked(send.m_instance, ServerReach::kAcceptsConnections,
                              vm.m_now);
  cr_assert_eq(vm.LastReason(), SteerRefusal::kLost);
}

// Guards against requests that are held until their deadline although no
// response can arrive any more.
Test(SteeringForecast, WaitingRequest_NoSlotFreed_RefusedBeforeItsDeadline) {
  SharedServers shared;
  shared.Play(seconds(8), 0.5);
  shared.Play(seconds(2), 0);
  SteeringFixture& vm = *shared.m_vms.front();
  const TimePoint arrived = vm.m_now;
  for (uint32_t request = 0; request < 3 * kSlots; ++request) {
    vm.Arrive("/read/x");
  }
  cr_assert_gt(vm.m_steering.WaitingCount(), 0U);
  while (vm.m_steering.WaitingCount() > 0) {
    vm.Pass(milliseconds(20));
  }
  cr_assert_eq(vm.LastReason(), SteerRefusal::kCannotFinish);
  cr_assert_leq(vm.m_now - arrived, kTimeout - kWork);
}

}  // namespace
}  // namespace sorrelplank
