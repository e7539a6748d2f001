/// @file store_fallback_test.cc VMs that follow the store through VMs of other
/// failure domains.

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "platform/feed_source.h"
#include "tests/store_fleet.h"

namespace sorrelplank::platform {
namespace {

constexpr size_t kDomains = 6;
constexpr Duration kBound = seconds(4);

/// VMs in six failure domains and three regions, started and idle.
struct FallbackFixture {
  StoreFleet m_fleet;

  explicit FallbackFixture(size_t vms_per_domain)
      : m_fleet(kDomains, vms_per_domain, kBound) {
    m_fleet.StartAll();
    m_fleet.RunFor(seconds(12));
  }

  void RefuseFirstDomain() {
    for (size_t vm = 0; vm < m_fleet.Size(); vm += kDomains) {
      m_fleet.FaultsOf(vm).m_is_refused_by_store = true;
    }
  }
};

TestSuite(StoreFallback, .timeout = 60);

// All VMs of a failure domain are refused by the store, while it serves others:
// they kept an old copy until it answered them again.
Test(StoreFallback, DomainRefusedByStore_Change_ArrivesThroughOtherDomains) {
  for (const size_t vms : {2, 11}) {
    FallbackFixture fixture(vms);
    StoreFleet& fleet = fixture.m_fleet;
    fixture.RefuseFirstDomain();
    fleet.RunFor(seconds(6));
    fleet.Put("op/config", "new");
    const Duration took =
        fleet.TimeUntilAllHave("op/config", "new", seconds(20));
    cr_expect_leq(took, kBound, "%zu VMs a domain", vms);
    cr_expect_lt(fleet.Follower(0).StoreOutageDuration(fleet.Now()),
                 milliseconds(500));
    cr_expect_not(fleet.Follower(0).IsStoreAwayElsewhere(fleet.Now()));
  }
}

// A VM that is refused alone must not take the store for away for all, and the
// other way round.
Test(StoreFallback, StoreRefusesAll_EachVmHearsItFromOtherRegions) {
  FallbackFixture fixture(2);
  StoreFleet& fleet = fixture.m_fleet;
  fleet.SetStoreRefuses(true);
  fleet.RunFor(seconds(8));
  for (size_t vm = 0; vm < fleet.Size(); ++vm) {
    cr_expect(fleet.Follower(vm).IsStoreAwayElsewhere(fleet.Now()), "VM %zu",
              vm);
  }
  fleet.SetStoreRefuses(false);
  fleet.RunFor(seconds(2));
  for (size_t vm = 0; vm < fleet.Size(); ++vm) {
    cr_expect_not(fleet.Follower(vm).IsStoreAwayElsewhere(fleet.Now()),
                  "VM %zu", vm);
  }
}

// A fallback relay becomes this VM's own relay. When it failed, it was queried
// again at once, and the store never.
Test(StoreFallback, FallbackBecomesOwnRelay_Fails_StoreIsQueried) {
  const VmAddress relay{1, 7};
  TimePoint now{seconds(100)};
  FeedSource source(1);
  RelayChoice choice;
  choice.m_fallback_relays = {{relay, true}};
  source.SetChoice(choice, now);
  choice = {};
  choice.m_relays = {relay};
  source.SetChoice(choice, now);
  source.OnRelayFailure(relay, false, now);
  cr_expect(std::holds_alternative<FromStore>(source.Next(now)));
}

}  // namespace
}  // namespace sorrelplank::platform
