/// @file send_forecast_test.cc Attempts that cannot complete in time.

#include "steer/send_forecast.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "steer/work_estimate.h"
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

/// A backend server that serves its queue in order of arrival.
struct QueueingServer {
  std::vector<std::pair<Job, Duration>> m_jobs;

  bool TryAdd(const Job& job) {
    const bool has_room = m_jobs.size() < kSlots + kServerQueue;
    if (has_room) {
      m_jobs.emplace_back(job, kWork);
    }
    return has_room;
  }

  /// Returns how many jobs were removed.
  size_t Remove(const Job& job) {
    return std::erase_if(m_jobs,
                         [&](const auto& one) { return one.first == job; });
  }

  /// Works for one step; returns the jobs that are done.
  std::vector<Job> Advance() {
    std::vector<Job> done;
    for (size_t slot = 0; slot < std::min<size_t>(kSlots, m_jobs.size());
         ++slot) {
      m_jobs[slot].second -= kStep;
      if (m_jobs[slot].second <= Duration::zero()) {
        done.push_back(m_jobs[slot].first);
      }
    }
    std::erase_if(
        m_jobs, [](const auto& one) { return one.second <= Duration::zero(); });
    return done;
  }
};

SendConditions MakeConditions(double occupancy) {
  return {.m_occupancy = occupancy,
          .m_slots = kSlots,
          .m_slot_time = kWork,
          .m_cached_work = kWork};
}

bool CanFinish(const SendConditions& conditions, Duration left = kTimeout) {
  return SendForecast(conditions).CanFinish({left, kTimeout});
}

/// Answered and cut-off requests of 6 s at three times what a server can take.
std::pair<size_t, size_t> PlayBurst(bool asks_forecast) {
  QueueingServer server;
  std::pair<size_t, size_t> answered_and_cut_off;
  for (uint64_t step = 0; step < 900; ++step) {
    answered_and_cut_off.first += server.Advance().size();
    // An attempt is named after the step in which it was sent.
    answered_and_cut_off.second +=
        server.Remove({0, AttemptId(step - kTimeout / kStep)});
    const auto occupancy = static_cast<double>(server.m_jobs.size());
    const bool arrives = step < 600 && step % 4 == 0;
    if (arrives && (!asks_forecast || CanFinish(MakeConditions(occupancy)))) {
      server.TryAdd({0, AttemptId(step)});
    }
  }
  return answered_and_cut_off;
}

TestSuite(SendForecast);

// Guards against attempts that take a place in a full queue and are cancelled
// at the timeout.
Test(SendForecast, Burst_MoreRequestsThanSlots_NoneCutOffAsManyAnswered) {
  const auto [answered_without, cut_off_without] = PlayBurst(false);
  const auto [answered, cut_off] = PlayBurst(true);
  cr_assert_gt(cut_off_without, 10U, "%zu", cut_off_without);
  cr_assert_eq(cut_off, 0U, "%zu", cut_off);
  cr_assert_geq(answered, answered_without, "%zu", answered);
}

// Guards against refusals by a forecast of one or two responses, after which
// nothing more would be learned.
Test(SendForecast, FewResponses_FullServer_IsAttempted) {
  WorkEstimate work;
  SendConditions conditions = MakeConditions(24);
  for (int response = 0; response < 10; ++response) {
    conditions.m_cached_work = work.Get();
    cr_assert(response > 2 || CanFinish(conditions));
    work.Add(kWork);
  }
  conditions.m_cached_work = work.Get();
  cr_assert_not(CanFinish(conditions));
}

// Guards against a service that is never served because it usually takes longer
// than its timeout.
Test(SendForecast, WorkOverTheTimeout_IdleServer_IsAttempted) {
  SendConditions conditions = MakeConditions(5);
  conditions.m_cached_work = seconds(3);
  cr_assert(CanFinish(conditions));
  conditions.m_occupancy = 7;
  cr_assert_not(CanFinish(conditions));
}

// Guards against objects that never become cached because a miss may exceed the
// timeout.
Test(SendForecast, MissOverTheTimeout_FreeSlot_IsAttempted) {
  SendConditions conditions = MakeConditions(5);
  conditions.m_is_cached = false;
  conditions.m_round_trip = seconds(1);
  cr_assert(CanFinish(conditions));
  conditions.m_occupancy = 6;
  cr_assert_not(CanFinish(conditions));
}

// Guards against a late retry that is cancelled halfway through its work.
Test(SendForecast, LessTimeLeftThanTheWork_IdleServer_IsNotAttempted) {
  cr_assert_not(CanFinish(MakeConditions(0), milliseconds(600)));
  cr_assert(CanFinish(MakeConditions(0), milliseconds(700)));
}

// Guards against callers with a budget below the route's timeout being refused
// for good, on idle servers, by work that was learned from others.
Test(SendForecast, BudgetBelowTheWork_IdleServer_IsAttempted) {
  const SendForecast forecast(MakeConditions(0));
  const Duration budget = milliseconds(500);
  cr_assert(forecast.CanFinish({.m_left = budget, .m_full = budget}));
  cr_assert_not(forecast.CanFinish({.m_left = budget / 10, .m_full = budget}));
}

// Guards against estimates that follow the requests whose objects are not
// cached.
Test(SendForecast, MostObjectsNotCached_WorkEstimate_IsNearCachedWork) {
  WorkEstimate work;
  for (int response = 0; response < 200; ++response) {
    work.Add(response % 5 < 2 ? kWork : kWork * 3);
  }
  cr_assert_lt(work.Get()->count(), (kWork * 3 / 2).count());
}

/// Two servers of the VMs' region that serve their queues in order of arrival.
/// The other region has most of the slots, so that the service counts as
/// uneven, unless it has none.
struct SharedServers {
  std::vector<std::unique_ptr<SteeringFixture>> m_vms;
  /// Number of actions applied, by VM.
  std::vector<size_t> m_applied;
  std::map<std::string, QueueingServer> m_servers;
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
      for (const auto& [name, domain, slots] : {std::tuple{"x", "d1", kSlots},
                                                {"y", "d2", kSlots},
                                                {"z", "d3", 60U}}) {
        if (is_uneven || slots == kSlots) {
          fixture.m_steering.PutServer(
              {name, "s", {1, 80}, domain, slots, false, {}, {}},
              fixture.m_now);
        }
      }
      fixture.Pass(milliseconds(200));
      m_applied.push_back(fixture.m_actions.size());
    }
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
      Step();
    }
  }

  void Step() {
    for (auto& [name, server] : m_servers) {
      for (const Job& job : server.Advance()) {
        End(job, AttemptEnd::kAnswered);
      }
    }
    for (size_t vm = 0; vm < kVms; ++vm) {
      SteeringFixture& fixture = *m_vms[vm];
      const auto loads = fixture.m_steering.TakeUnsharedLoads(fixture.m_now);
      for (const auto& other : m_vms) {
        other->m_steering.ApplyPeerLoads(loads, other->m_now);
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
      if (!m_servers[send->m_instance].TryAdd(job)) {
        End(job, AttemptEnd::kRejected);
      }
    } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
      for (auto& [name, server] : m_servers) {
        server.Remove({vm, cancel->m_attempt});
      }
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      ++m_refusals[refusal->m_reason];
    }
    m_answered += std::holds_alternative<ForwardServerAnswer>(action) ? 1 : 0;
  }

  void End(const Job& job, AttemptEnd end) {
    SteeringFixture& fixture = *m_vms[job.first];
    const auto& [send, sent] = m_sends.at(job);
    const auto there =
        static_cast<uint32_t>(m_servers[send.m_instance].m_jobs.size());
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
  // Without forecasts, 50 are cut off and 117 answered.
  cr_expect_leq(shared.m_refusals[SteerRefusal::kTimedOut], 3U);
  cr_expect_geq(shared.m_answered, 117U);
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
  cr_assert_gt(refusal.m_time_to_answer, kTimeout);
  cr_assert_geq(refusal.m_retry_after, refusal.m_time_to_answer - kTimeout);
  cr_assert_leq(refusal.m_retry_after, milliseconds(1500));
  cr_assert_eq(DescribeSteerRefusal(refusal.m_reason).m_verdict,
               Verdict::kNotRun);
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
