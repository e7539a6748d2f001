/// @file relay_choice_test.cc Choosing the entry VMs that watch the store on
/// behalf of others.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "platform/relay_choice_func.h"

namespace sorrelplank::platform {
namespace {

constexpr uint16_t kPort = 7;

/// Fleets over nine failure domains.
struct ChoiceFixture {
  static std::vector<FleetMember> Fleet(size_t vms) {
    std::vector<FleetMember> fleet;
    for (size_t number = 0; number < vms; ++number) {
      const std::string last = std::to_string(number % 250);
      fleet.push_back(
          {.m_vm = "vm-" + std::to_string(number),
           .m_client_address =
               "10.0." + std::to_string(number / 250) + "." + last + ":80",
           .m_failure_domain = "d" + std::to_string(number % 9),
           .m_region = "r" + std::to_string(number % 3)});
    }
    return fleet;
  }

  static size_t CountWatchers(const std::vector<FleetMember>& fleet) {
    return static_cast<size_t>(
        std::count_if(fleet.begin(), fleet.end(), [&](const FleetMember& vm) {
          return ChooseRelays(fleet, vm, kPort).m_relays.empty();
        }));
  }
};

TestSuite(RelayChoice);

// Each change wakes every VM that watches the store. Their number must grow
// with the failure domains rather than with the VMs.
Test(RelayChoice, Watchers_FleetGrows_GrowFarSlower) {
  cr_expect_eq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(9)), 9U);
  cr_expect_eq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(18)), 18U);
  cr_expect_eq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(27)), 9U);
  cr_expect_eq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(65)), 9U);
  cr_expect_leq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(195)), 18U);
  cr_expect_leq(ChoiceFixture::CountWatchers(ChoiceFixture::Fleet(710)), 45U);
}

Test(RelayChoice, Followers_ManyInADomain_SpreadOverItsRelays) {
  const auto fleet = ChoiceFixture::Fleet(710);
  std::map<VmAddress, size_t> followers;
  for (const FleetMember& vm : fleet) {
    const RelayChoice choice = ChooseRelays(fleet, vm, kPort);
    if (!choice.m_relays.empty()) {
      ++followers[choice.m_relays.front()];
    }
  }
  cr_expect_eq(followers.size(), ChoiceFixture::CountWatchers(fleet));
  for (const auto& [relay, count] : followers) {
    cr_expect_leq(count, 30U, "%zu followers", count);
  }
}

// Guards against choosing relays with the slowest link or the least CPU of
// their failure domain.
Test(RelayChoice, DomainHasLargerVms_TheyBecomeTheRelays) {
  auto fleet = ChoiceFixture::Fleet(990);
  size_t number = 0;
  for (FleetMember& vm : fleet) {
    const bool is_large = number++ / 9 % 11 == 3;
    vm.m_capacity = is_large ? VmCapacity{0.5, 200} : VmCapacity{0.1, 20};
  }
  size_t relays = 0;
  for (const FleetMember& vm : fleet) {
    if (ChooseRelays(fleet, vm, kPort).m_relays.empty()) {
      ++relays;
      cr_expect_eq(vm.m_capacity.m_cores, 0.5);
    }
  }
  cr_expect_eq(relays, 18U);
}

// A relay leaves the fleet. Only its own failure domain chooses a new one, and
// the other relays stay, because a follower gets no changes while it switches
// its source.
Test(RelayChoice, RelayLeaves_OtherRelaysAndDomains_AreUnchanged) {
  const auto fleet = ChoiceFixture::Fleet(195);
  const auto relay =
      std::find_if(fleet.begin(), fleet.end(), [&](const FleetMember& vm) {
        return ChooseRelays(fleet, vm, kPort).m_relays.empty();
      });
  auto smaller = fleet;
  std::erase_if(smaller,
                [&](const FleetMember& vm) { return vm.m_vm == relay->m_vm; });
  size_t changed = 0;
  for (const FleetMember& vm : smaller) {
    const bool was_relay = ChooseRelays(fleet, vm, kPort).m_relays.empty();
    const bool is_relay = ChooseRelays(smaller, vm, kPort).m_relays.empty();
    cr_expect(is_relay || !was_relay);
    if (is_relay != was_relay) {
      ++changed;
      cr_expect_eq(vm.m_failure_domain, relay->m_failure_domain);
    }
  }
  cr_expect_eq(changed, 1U);
}

// A VM that is not in the fleet yet queries the relays of its failure domain;
// if there are none, it uses the store.
Test(RelayChoice, NewVm_NotInTheFleetYet_FollowsItsDomain) {
  const auto fleet = ChoiceFixture::Fleet(27);
  FleetMember fresh = fleet.front();
  fresh.m_vm = "fresh";
  cr_expect_eq(ChooseRelays(fleet, fresh, kPort).m_relays.size(), 1U);
  cr_expect(ChooseRelays({}, fresh, kPort).m_relays.empty());
  fresh.m_failure_domain = "elsewhere";
  cr_expect(ChooseRelays(fleet, fresh, kPort).m_relays.empty());
}

}  // namespace
}  // namespace sorrelplank::platform
