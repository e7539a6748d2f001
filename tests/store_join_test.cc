/// @file store_join_test.cc VMs that join while others of their failure domain
/// are cut off from the store.

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
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
constexpr const char* kKey = "op/config";
constexpr const char* kOld = "old";
constexpr const char* kNew = "new";

/// What happens in one run, by time since the start-up period.
struct JoinScenario {
  size_t m_vms = 1;  ///< VMs that run before one joins.
  size_t m_cut = 0;  ///< Number of the VM that the store stops answering.
  Duration m_join_at{};
  Duration m_cut_at{};
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
    if (time == scenario.m_cut_at) {
      fleet.FaultsOf(scenario.m_cut).m_is_cut_off_from_store = true;
    }
    if (time == scenario.m_change_at) {
      fleet.Put(kKey, kNew);
    }
    fleet.RunFor(kStep);
    for (size_t vm = 0; vm <= scenario.m_vms; ++vm) {
      const bool is_cut = vm == scenario.m_cut && time >= scenario.m_cut_at;
      const bool is_running = vm < scenario.m_vms || time >= scenario.m_join_at;
      const bool is_checked = time >= scenario.m_change_at && is_running &&
                              !is_cut && !fleet.Follower(vm).IsLoading();
      if (is_checked && fleet.HasValue(vm, kKey, kOld)) {
        longest = time + kStep - scenario.m_change_at;
      }
    }
  }
  return longest;
}

/// The worst case over all moments of the cut relative to the join.
struct WorstCase {
  JoinScenario m_scenario;
  Duration m_longest{};
};

WorstCase FindWorst(size_t vms, Duration join_at, Duration change_after_cut) {
  WorstCase worst;
  for (Duration cut = join_at - kUnnoticedCutTime;
       cut <= join_at + milliseconds(600); cut += milliseconds(100)) {
    for (size_t victim = 0; victim < vms; ++victim) {
      const JoinScenario scenario{.m_vms = vms,
                                  .m_cut = victim,
                                  .m_join_at = join_at,
                                  .m_cut_at = cut,
                                  .m_change_at = cut + change_after_cut};
      const Duration longest = LongestOldValue(scenario);
      if (longest > worst.m_longest) {
        worst = {scenario, longest};
      }
    }
  }
  return worst;
}

void Report(const JoinScenario& scenario, Duration longest) {
  const auto after_join = scenario.m_cut_at - scenario.m_join_at;
  const auto after_cut = scenario.m_change_at - scenario.m_cut_at;
  cr_expect_leq(longest, kBound,
                "%zu VMs, VM %zu cut off %ld ms after the join, change %ld ms "
                "after the cut: old value for %ld ms",
                scenario.m_vms, scenario.m_cut,
                static_cast<long>(after_join / milliseconds(1)),
                static_cast<long>(after_cut / milliseconds(1)),
                static_cast<long>(longest / milliseconds(1)));
}

void ExpectWithinBound(size_t vms) {
  for (const Duration change : {milliseconds(20), milliseconds(500)}) {
    const WorstCase worst = FindWorst(vms, seconds(6), change);
    Report(worst.m_scenario, worst.m_longest);
  }
}

TestSuite(StoreJoin, .timeout = 120);

// Guards against a VM that joins and takes the copy of the only other VM of its
// failure domain for current, although the store no longer answers that VM.
Test(StoreJoin, OnlyOtherVmCutUnnoticed_ConfigurationChanges_IsInForceInTime) {
  ExpectWithinBound(1);
}

// Guards against VMs that give up their own watch when another one joins, and
// follow a VM that waits in a long watch which is never answered.
Test(StoreJoin, RelayCutUnnoticed_ConfigurationChanges_IsInForceInTime) {
  for (size_t vms = 2; vms <= 4; ++vms) {
    ExpectWithinBound(vms);
  }
}

// Guards against a VM that joins and, as soon as its relay says that it lost
// the store, serves by the relay's old copy instead of asking the store itself.
Test(StoreJoin, RelaysCutAndKnowIt_VmJoins_OldConfigurationIsNotUsed) {
  for (size_t vms = 1; vms <= 4; ++vms) {
    for (size_t victim = 0; victim < vms; ++victim) {
      const JoinScenario scenario{.m_vms = vms,
                                  .m_cut = victim,
                                  .m_join_at = seconds(6),
                                  .m_cut_at = seconds(6) - kNoticedCutTime,
                                  .m_change_at = seconds(2)};
      Report(scenario, LongestOldValue(scenario));
    }
  }
}

}  // namespace
}  // namespace sorrelplank::platform
