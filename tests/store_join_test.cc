/// @file store_join_test.cc VMs that join while others of their failure domain
/// are cut off from the store.

#include <criterion/criterion.h>

#include <string>

#include "tests/store_fleet.h"

namespace sorrelplank::platform {
namespace {

/// Time within which a change must be in force.
constexpr Duration kBound = milliseconds(2500);
constexpr Duration kStep = milliseconds(20);
/// VMs join after the start-up period of the others.
constexpr Duration kStartTime = seconds(6);
/// A VM notices after this time at the latest that the store stopped answering:
/// a watch of 3 s, its timeout margin and a pause before it.
constexpr Duration kUnnoticedCutTime = milliseconds(3800);
/// After this time it has noticed that, and told its followers.
constexpr Duration kNoticedCutTime = seconds(5);
/// A paused VM continues after this time.
constexpr Duration kPauseTime = seconds(3);
constexpr const char* kKey = "op/config";
constexpr const char* kOld = "old";
constexpr const char* kNew = "new";

/// What happens in one run, by time since the start-up period.
struct JoinScenario {
  size_t m_vms = 1;     ///< VMs that run before one joins.
  size_t m_victim = 0;  ///< Number of the VM that gets the fault.
  bool VmFaults::*m_fault = &VmFaults::m_is_cut_off_from_store;
  Duration m_join_at{};
  Duration m_fault_at{};
  Duration m_change_at{};
};

/// Latest time since the change at which a VM that reaches the store, and that
/// does not hold its requests, still has the old value.
Duration LongestOldValue(const JoinScenario& scenario) {
  StoreFleet fleet(1, scenario.m_vms + 1, kBound);
  fleet.Put(kKey, kOld);
  fleet.StartFirst(scenario.m_vms);
  fleet.RunFor(kStartTime);
  // Stale reads omit the latest changes, not the entries of the VMs.
  for (int number = 0; number < 20; ++number) {
    fleet.Put("servers/i-" + std::to_string(number), "ready");
  }
  Duration longest{};
  const Duration end = scenario.m_change_at + seconds(8);
  for (Duration time{}; time < end; time += kStep) {
    if (time == scenario.m_join_at) {
      fleet.Restart(scenario.m_vms);
    }
    if (time == scenario.m_fault_at) {
      fleet.FaultsOf(scenario.m_victim).*scenario.m_fault = true;
    }
    if (time == scenario.m_fault_at + kPauseTime) {
      fleet.FaultsOf(scenario.m_victim).m_is_paused = false;
    }
    if (time == scenario.m_change_at) {
      fleet.Put(kKey, kNew);
    }
    fleet.RunFor(kStep);
    for (size_t vm = 0; vm <= scenario.m_vms; ++vm) {
      const bool is_victim =
          vm == scenario.m_victim && time >= scenario.m_fault_at;
      const bool is_running = vm < scenario.m_vms || time >= scenario.m_join_at;
      const bool is_checked = time >= scenario.m_change_at && is_running &&
                              !is_victim && !fleet.Follower(vm).IsLoading();
      if (is_checked && fleet.HasValue(vm, kKey, kOld)) {
        longest = time + kStep - scenario.m_change_at;
      }
    }
  }
  return longest;
}

/// The worst case over all VMs and all moments of the fault.
struct WorstCase {
  JoinScenario m_scenario;
  Duration m_longest{};
};

WorstCase FindWorst(size_t vms,
                    bool VmFaults::*fault,
                    Duration change_after_fault) {
  constexpr Duration kJoinAt = seconds(6);
  WorstCase worst;
  for (Duration fault_at = kJoinAt - kUnnoticedCutTime;
       fault_at <= kJoinAt + milliseconds(600); fault_at += milliseconds(100)) {
    for (size_t victim = 0; victim < vms; ++victim) {
      const JoinScenario scenario{.m_vms = vms,
                                  .m_victim = victim,
                                  .m_fault = fault,
                                  .m_join_at = kJoinAt,
                                  .m_fault_at = fault_at,
                                  .m_change_at = fault_at + change_after_fault};
      const Duration longest = LongestOldValue(scenario);
      if (longest > worst.m_longest) {
        worst = {scenario, longest};
      }
    }
  }
  return worst;
}

void ExpectInForceInTime(const JoinScenario& scenario, Duration longest) {
  const auto after_join = scenario.m_fault_at - scenario.m_join_at;
  const auto after_fault = scenario.m_change_at - scenario.m_fault_at;
  cr_expect_leq(longest, kBound,
                "%zu VMs, fault of VM %zu %ld ms after the join, change %ld ms "
                "after it: old value for %ld ms",
                scenario.m_vms, scenario.m_victim,
                static_cast<long>(after_join / milliseconds(1)),
                static_cast<long>(after_fault / milliseconds(1)),
                static_cast<long>(longest / milliseconds(1)));
}

void ExpectWorstInTime(size_t vms, bool VmFaults::*fault) {
  for (const Duration change : {milliseconds(20), milliseconds(500)}) {
    const WorstCase worst = FindWorst(vms, fault, change);
    ExpectInForceInTime(worst.m_scenario, worst.m_longest);
  }
}

TestSuite(StoreJoin, .timeout = 120);

// Guards against a VM that joins and takes the copy of the only other VM of its
// failure domain for current, although the store no longer answers that VM.
Test(StoreJoin, OnlyOtherVmCutUnnoticed_ConfigurationChanges_IsInForceInTime) {
  ExpectWorstInTime(1, &VmFaults::m_is_cut_off_from_store);
}

// Guards against VMs that give up their own watch when another one joins, and
// follow a VM that waits in a long watch which is never answered.
Test(StoreJoin, RelayCutUnnoticed_ConfigurationChanges_IsInForceInTime) {
  for (size_t vms = 2; vms <= 4; ++vms) {
    ExpectWorstInTime(vms, &VmFaults::m_is_cut_off_from_store);
  }
}

// Guards against followers that take the copy of a VM which was paused, or
// whose replies are lost, for current.
Test(StoreJoin, RelayPausedOrSilent_ConfigurationChanges_IsInForceInTime) {
  for (size_t vms = 1; vms <= 3; ++vms) {
    ExpectWorstInTime(vms, &VmFaults::m_is_paused);
    ExpectWorstInTime(vms, &VmFaults::m_drops_answers);
  }
}

// Guards against a VM that joins and, as soon as its relay says that it lost
// the store, serves by the relay's old copy instead of asking the store itself.
Test(StoreJoin, RelaysCutAndKnowIt_VmJoins_OldConfigurationIsNotUsed) {
  for (size_t vms = 1; vms <= 4; ++vms) {
    for (size_t victim = 0; victim < vms; ++victim) {
      const JoinScenario scenario{.m_vms = vms,
                                  .m_victim = victim,
                                  .m_join_at = seconds(6),
                                  .m_fault_at = seconds(6) - kNoticedCutTime,
                                  .m_change_at = seconds(2)};
      ExpectInForceInTime(scenario, LongestOldValue(scenario));
    }
  }
}

}  // namespace
}  // namespace sorrelplank::platform
