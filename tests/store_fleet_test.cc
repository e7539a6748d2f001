/// @file store_fleet_test.cc A large fleet that follows one store through
/// relays.

#include "tests/store_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>

namespace sorrelplank::platform {
namespace {

/// Half of the time within which a change must be in force in these fleets.
constexpr Duration kHalfOfBound = seconds(2);
constexpr Duration kBound = seconds(4);

/// 66 VMs in six failure domains, started and idle, with a hundred servers.
struct FleetFixture {
  StoreFleet m_fleet{6, 11};

  FleetFixture() {
    for (int number = 0; number < 100; ++number) {
      m_fleet.Put("servers/i-" + std::to_string(number), "ready");
    }
    m_fleet.StartAll();
    m_fleet.RunFor(seconds(12));
  }

  void ExpectChangeWithin(Duration limit) {
    const std::string value = "version " + std::to_string(++m_version);
    m_fleet.Put("op/config", value);
    const Duration took =
        m_fleet.TimeUntilAllHave("op/config", value, seconds(30));
    cr_expect_leq(took, limit, "all VMs had it after %ld ms",
                  static_cast<long>(took / milliseconds(1)));
  }

  /// Number of calls of all VMs during a time in which servers join or leave,
  /// ten of them a second unless another interval is given.
  uint64_t CallsWhileServersChange(Duration time,
                                   Duration interval = milliseconds(100)) {
    const uint64_t before = m_fleet.Calls();
    for (Duration passed{}; passed < time; passed += interval) {
      m_fleet.Put("servers/new-" + std::to_string(++m_version), "ready");
      m_fleet.RunFor(interval);
    }
    return m_fleet.Calls() - before;
  }

  int m_version = 0;
};

std::unique_ptr<FleetFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<FleetFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(StoreFleet, .init = SetUp, .fini = TearDown, .timeout = 120);

// When every VM watched the store, each response woke all of them while servers
// joined and left, and a fleet of 66 made about 66 calls a second. With relays,
// only one VM of each failure domain calls: six here.
Test(StoreFleet, ServersChange_LargeFleet_FewVmsCallTheStore) {
  cr_expect_eq(g_fixture->m_fleet.Watchers().size(), 6U);
  const uint64_t calls = g_fixture->CallsWhileServersChange(seconds(10));
  cr_expect_leq(calls, 66U * 10 / 5, "%lu calls",
                static_cast<unsigned long>(calls));
  cr_expect(g_fixture->m_fleet.HasValue(65, "servers/new-" + std::to_string(1),
                                        "ready"));
}

Test(StoreFleet, Change_NoFaults_ReachesAllVms) {
  g_fixture->ExpectChangeWithin(kHalfOfBound);
}

// A relay loses power, is paused, or its replies are lost on a link that fails
// in one direction. Its followers receive nothing, while the store would answer
// them. They must not wait for the relay longer than half of the time that a
// change may take.
Test(StoreFleet, RelaySilent_ChangeMeanwhile_ArrivesInHalfOfTheBound) {
  for (bool VmFaults::*fault : {&VmFaults::m_is_down, &VmFaults::m_is_paused,
                                &VmFaults::m_drops_answers}) {
    const size_t relay = g_fixture->m_fleet.Watchers().front();
    g_fixture->m_fleet.FaultsOf(relay).*fault = true;
    g_fixture->ExpectChangeWithin(kHalfOfBound);
    g_fixture->m_fleet.Restart(relay);
    g_fixture->m_fleet.RunFor(seconds(10));
  }
}

// A relay is cut off from the store, or refused by it, while its followers are
// not. It sees no changes and would look like a relay without changes. It must
// report that it lost the store, and the followers then use the store.
Test(StoreFleet, RelayWithoutStore_ChangeMeanwhile_FollowersUseTheStore) {
  for (bool VmFaults::*fault :
       {&VmFaults::m_is_refused_by_store, &VmFaults::m_is_cut_off_from_store}) {
    const size_t relay = g_fixture->m_fleet.Watchers().front();
    g_fixture->m_fleet.FaultsOf(relay).*fault = true;
    g_fixture->m_fleet.RunFor(seconds(4));
    const std::string value = std::to_string(relay) + " is cut off";
    g_fixture->m_fleet.Put("op/config", value);
    g_fixture->m_fleet.RunFor(kBound);
    for (size_t vm = 0; vm < g_fixture->m_fleet.Size(); ++vm) {
      cr_expect(
          vm == relay || g_fixture->m_fleet.HasValue(vm, "op/config", value),
          "VM %zu", vm);
    }
    g_fixture->m_fleet.FaultsOf(relay).*fault = false;
    g_fixture->m_fleet.RunFor(seconds(10));
  }
}

// A relay is cut off from the store at the moment of a change, and its watch is
// not answered. It cannot detect this, and until the watch times out, its
// followers take it for a relay without changes, although the store would
// answer them. That must not take longer than half of the time that a change
// may take.
Test(StoreFleet, RelayCutOff_ChangeAtOnce_ReachesFollowersInHalfOfTheBound) {
  StoreFleet& fleet = g_fixture->m_fleet;
  for (int round = 0; round < 5; ++round) {
    const size_t relay = fleet.Watchers().front();
    fleet.RunFor(milliseconds(370) * round);
    fleet.FaultsOf(relay).m_is_cut_off_from_store = true;
    const std::string value = "round " + std::to_string(round);
    fleet.Put("op/config", value);
    fleet.RunFor(kHalfOfBound);
    for (size_t vm = 0; vm < fleet.Size(); ++vm) {
      cr_expect(vm == relay || fleet.HasValue(vm, "op/config", value),
                "round %d, VM %zu", round, vm);
    }
    fleet.FaultsOf(relay).m_is_cut_off_from_store = false;
    fleet.RunFor(seconds(10));
  }
}

// All relays lose power at once. Every VM continues with the store, like a
// fleet without relays.
Test(StoreFleet, AllRelaysDown_ChangeMeanwhile_ArrivesInHalfOfTheBound) {
  for (const size_t relay : g_fixture->m_fleet.Watchers()) {
    g_fixture->m_fleet.FaultsOf(relay).m_is_down = true;
  }
  g_fixture->ExpectChangeWithin(kHalfOfBound);
}

// A failure domain of 20 VMs has two relays, and both lose power at the same
// moment. A follower that waited for one after the other would get no changes
// for twice the time; after one silent relay it must use the store.
Test(StoreFleet,
     BothRelaysOfADomainDown_ChangeMeanwhile_ArrivesInHalfOfTheBound) {
  StoreFleet fleet(2, 20);
  fleet.StartAll();
  fleet.RunFor(seconds(12));
  cr_assert_eq(fleet.Watchers().size(), 4U);
  for (const size_t relay : fleet.Watchers()) {
    fleet.FaultsOf(relay).m_is_down = true;
  }
  fleet.Put("op/config", "new");
  const Duration took = fleet.TimeUntilAllHave("op/config", "new", seconds(30));
  cr_expect_leq(took, kHalfOfBound, "after %ld ms",
                static_cast<long>(took / milliseconds(1)));
}

// The store refuses every call for eight seconds. When each VM retried within a
// second, 66 VMs made 110 calls a second, and refused calls are charged too.
// Followers learn of the recovery from their relay, so they must retry rarely.
Test(StoreFleet, StoreRefuses_LongOutage_FewRetriesAndFastRecovery) {
  const uint64_t before = g_fixture->m_fleet.Calls();
  g_fixture->m_fleet.SetStoreRefuses(true);
  g_fixture->m_fleet.RunFor(seconds(8));
  const uint64_t calls = g_fixture->m_fleet.Calls() - before;
  cr_expect_leq(calls, 66U * 8, "%lu calls", static_cast<unsigned long>(calls));
  cr_expect_gt(
      g_fixture->m_fleet.Follower(0).StoreOutageDuration(TimePoint::max()),
      Duration::zero());
  g_fixture->m_fleet.SetStoreRefuses(false);
  g_fixture->ExpectChangeWithin(kHalfOfBound);
}

// The store is silent for four seconds, and all entries under leases expire
// meanwhile although their owners are alive. A follower sees no outage of its
// own, only a relay that passes on a hundred removals. If it applied them at
// once, no server would be left to send to.
Test(StoreFleet, StoreRecovers_EntriesExpired_FollowersKeepThem) {
  g_fixture->m_fleet.SetStoreSilent(true);
  g_fixture->m_fleet.RunFor(seconds(4));
  for (int number = 0; number < 100; ++number) {
    g_fixture->m_fleet.Remove("servers/i-" + std::to_string(number));
  }
  g_fixture->m_fleet.SetStoreSilent(false);
  g_fixture->m_fleet.RunFor(milliseconds(1500));
  for (int number = 0; number < 100; ++number) {
    g_fixture->m_fleet.Put("servers/i-" + std::to_string(number), "ready");
  }
  g_fixture->m_fleet.RunFor(seconds(5));
  cr_expect_lt(g_fixture->m_fleet.MaxRemovedAtOnce(), 50U);
  for (size_t vm = 0; vm < g_fixture->m_fleet.Size(); ++vm) {
    cr_expect(g_fixture->m_fleet.HasValue(vm, "servers/i-99", "ready"));
  }
}

// The store discards its history, and the relays read everything again. The
// events that a follower lacks are no longer in its relay's log; it must read
// all keys and miss no change.
Test(StoreFleet, HistoryDiscarded_RelaysReadAgain_FollowersMissNothing) {
  for (int round = 0; round < 3; ++round) {
    g_fixture->m_fleet.Put("op/config", "lost in between");
    g_fixture->m_fleet.Remove("servers/i-" + std::to_string(round));
    g_fixture->m_fleet.DiscardHistory();
    g_fixture->ExpectChangeWithin(kBound);
    for (size_t vm = 0; vm < g_fixture->m_fleet.Size(); ++vm) {
      cr_expect(g_fixture->m_fleet.HasValue(
                    vm, "servers/i-" + std::to_string(round), ""),
                "VM %zu still has it", vm);
    }
  }
}

// VMs, including relays, restart one after the other while the configuration
// changes. A VM's first read may be stale: it must nevertheless not count as in
// sync too early, and must never replace a newer version by an older one.
Test(StoreFleet, VmsRestart_ConfigurationChanges_StaleReadIsNotInSync) {
  StoreFleet& fleet = g_fixture->m_fleet;
  for (size_t vm = 0; vm < fleet.Size(); vm += 3) {
    const std::string value = "at restart " + std::to_string(vm);
    fleet.FaultsOf(vm).m_is_down = true;
    const TimePoint changed = fleet.Now();
    fleet.Put("op/config", value);
    fleet.RunFor(milliseconds(300));
    fleet.Restart(vm);
    for (int step = 0; step < 10; ++step) {
      fleet.RunFor(milliseconds(30));
      const bool claims_to_be_synced =
          fleet.Follower(vm).LastSyncedAt() > changed;
      cr_expect(fleet.HasValue(vm, "op/config", value) || !claims_to_be_synced,
                "VM %zu counts as in sync after a stale read", vm);
    }
  }
  g_fixture->ExpectChangeWithin(kHalfOfBound);
  cr_expect_not(fleet.HasRegressed());
}

/// Number of items that all VMs read from the store when they restart together.
/// `vms` and `servers`: VMs per failure domain, and servers in total.
uint64_t ItemsReadAtRestart(size_t vms, size_t servers) {
  StoreFleet fleet(3, vms);
  for (size_t number = 0; number < servers; ++number) {
    fleet.Put("servers/i-" + std::to_string(number), "ready");
  }
  fleet.StartAll();
  fleet.RunFor(seconds(12));
  for (int change = 0; change < 10; ++change) {
    // Stale reads omit the latest changes.
    fleet.Put("op/config", std::to_string(change));
  }
  const uint64_t before = fleet.ItemsRead();
  fleet.RestartAll(milliseconds(600));
  const Duration took =
      fleet.TimeUntilAllHave("servers/i-0", "ready", seconds(30));
  cr_expect_leq(took, seconds(5), "%zu VMs: all had it after %ld ms", vms,
                static_cast<long>(took / milliseconds(1)));
  fleet.RunFor(seconds(5));
  return fleet.ItemsRead() - before;
}

// Guards against a restart of all VMs in which each VM reads every key from the
// store: the store's link was saturated meanwhile, and no VM served requests.
Test(StoreFleet, AllRestart_FleetGrows_OnlyRelaysReadTheStore) {
  constexpr size_t kServers = 300;
  for (const size_t vms : {5U, 10U, 20U}) {
    const uint64_t read = ItemsReadAtRestart(vms, kServers);
    // In addition, each VM reads the entries of its own failure domain.
    const uint64_t relays = 3 * (vms / 16 + 1);
    const uint64_t max_items = relays * (kServers + 3 * vms) + 3 * vms * vms;
    cr_expect_leq(read, max_items, "%zu VMs read %lu items", vms,
                  static_cast<unsigned long>(read));
  }
}

// Guards against a start that waits for several silent relays in turn.
Test(StoreFleet, VmStarts_AllRelaysOfItsDomainPaused_ReadsTheStoreInTime) {
  StoreFleet fleet(2, 40);
  fleet.StartAll();
  fleet.RunFor(seconds(12));
  fleet.Put("op/config", "new");
  fleet.RunFor(seconds(4));
  const auto relays = fleet.Watchers();
  cr_assert_eq(relays.size(), 6U);
  for (const size_t relay : relays) {
    fleet.FaultsOf(relay).m_is_paused = true;
  }
  size_t vm = 0;
  while (std::find(relays.begin(), relays.end(), vm) != relays.end()) {
    ++vm;
  }
  fleet.FaultsOf(vm).m_is_down = true;
  fleet.RunFor(milliseconds(600));
  fleet.Restart(vm);
  fleet.RunFor(seconds(3));
  cr_expect(fleet.HasValue(vm, "op/config", "new"));
}

// Guards against followers that wait for a relay which never manages to read
// the store.
Test(StoreFleet, AllRestart_RelaysCannotReadTheStore_FollowersReadIt) {
  StoreFleet& fleet = g_fixture->m_fleet;
  const auto relays = fleet.Watchers();
  fleet.RestartAll(milliseconds(600));
  for (const size_t relay : relays) {
    fleet.FaultsOf(relay).m_is_refused_by_store = true;
  }
  fleet.RunFor(seconds(5));
  for (size_t vm = 0; vm < fleet.Size(); ++vm) {
    const bool is_relay =
        std::find(relays.begin(), relays.end(), vm) != relays.end();
    cr_expect(is_relay || fleet.HasValue(vm, "servers/i-7", "ready"), "VM %zu",
              vm);
  }
}

// The store refuses every third VM for nine seconds, in which servers join and
// leave, and gives out at most 50 events at a time. Guards against VMs that,
// after each batch, wait for further changes although many are left.
Test(StoreFleet, VmsRefusedForLong_EventsInBatches_CatchUpWithinTheBound) {
  StoreFleet& fleet = g_fixture->m_fleet;
  fleet.SetMaxWatchEvents(50);
  for (size_t vm = 0; vm < fleet.Size(); vm += 3) {
    fleet.FaultsOf(vm).m_is_refused_by_store = true;
  }
  for (const size_t relay : fleet.Watchers()) {
    fleet.FaultsOf(relay).m_is_refused_by_store = true;
  }
  g_fixture->CallsWhileServersChange(seconds(9), milliseconds(22));
  for (size_t vm = 0; vm < fleet.Size(); ++vm) {
    fleet.FaultsOf(vm).m_is_refused_by_store = false;
  }
  fleet.Put("op/config", "after the outage");
  g_fixture->CallsWhileServersChange(kBound, milliseconds(22));
  for (size_t vm = 0; vm < fleet.Size(); ++vm) {
    cr_expect(fleet.HasValue(vm, "op/config", "after the outage"), "VM %zu",
              vm);
  }
}

/// Writes some versions of the configuration, and lets the store come back from
/// a copy without the last ones after an outage.
void RestoreWithout(StoreFleet& fleet, size_t changes) {
  for (size_t change = 0; change < 6; ++change) {
    fleet.Put("op/config", "old version " + std::to_string(change));
    fleet.RunFor(seconds(1));
  }
  fleet.SetStoreSilent(true);
  fleet.RunFor(seconds(2));
  fleet.RestoreOlderCopy(changes);
  fleet.SetStoreSilent(false);
}

// A store that is restored from an older copy gives out revisions again: what
// is written then was taken for old, and never came into force.
Test(StoreFleet, StoreRestored_ChangeWithUsedRevision_ReachesAllVms) {
  RestoreWithout(g_fixture->m_fleet, 4);
  g_fixture->m_fleet.RunFor(seconds(4));
  g_fixture->ExpectChangeWithin(kBound);
}

// The same where the store has given the revisions out again before any VM
// asks: no 410 tells of it.
Test(StoreFleet, StoreRestored_RevisionsUsedBeforeAnyRead_ReachesAllVms) {
  RestoreWithout(g_fixture->m_fleet, 4);
  for (int server = 0; server < 10; ++server) {
    g_fixture->m_fleet.Put("servers/back-" + std::to_string(server), "ready");
  }
  g_fixture->ExpectChangeWithin(kBound);
  g_fixture->m_fleet.RunFor(seconds(4));
  cr_expect(g_fixture->m_fleet.HasValue(40, "servers/back-0", "ready"));
}

}  // namespace
}  // namespace sorrelplank::platform
