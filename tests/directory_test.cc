/// @file directory_test.cc Selection of entry VMs for a client.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "proxy/client_directory.h"
#include "proxy/directory_func.h"

namespace sorrelplank {
namespace {

TestSuite(Directory);

const std::vector<FleetMember> kFleet = {{"a", "1:1", "d1", "north"},
                                         {"b", "2:1", "d2", "north"},
                                         {"c", "3:1", "d3", "south"},
                                         {"d", "4:1", "d4", "west"}};

Test(Directory, OwnRegionHasVms_Asked_NamesAllOfThem) {
  const auto addresses = ChooseAddresses(kFleet, {"north", "d1", {"south"}});
  cr_assert_eq(addresses.size(), 2);
  cr_assert_str_eq(addresses[0].c_str(), "1:1");
  cr_assert_str_eq(addresses[1].c_str(), "2:1");
}

// Guards against sending request bodies outside the home regions when all entry
// VMs of the client's region are gone.
Test(Directory, OwnRegionEmpty_HostHasHomes_NamesTheHomes) {
  const auto addresses = ChooseAddresses(kFleet, {"east", "d9", {"south"}});
  cr_assert_eq(addresses.size(), 1);
  cr_assert_str_eq(addresses[0].c_str(), "3:1");
}

Test(Directory, NoRegionMatches_Asked_NamesAllVms) {
  cr_assert_eq(ChooseAddresses(kFleet, {"east", "d9", {"moon"}}).size(), 4);
  cr_assert(ChooseAddresses({}, {"north", "d1", {}}).empty());
}

Test(Directory, LargeFleet_Answer_StaysWithinItsBound) {
  const std::vector<FleetMember> fleet(300, kFleet[0]);
  cr_assert_eq(ChooseAddresses(fleet, {"north", "d1", {}}).size(),
               kMaxDirectoryAddresses);
}

/// A region of three failure domains in which every eleventh VM is large.
std::vector<FleetMember> LargeRegion(size_t vms_per_domain) {
  std::vector<FleetMember> fleet;
  for (const std::string domain : {"d1", "d2", "d3"}) {
    for (size_t number = 0; number < vms_per_domain; ++number) {
      const bool is_large = number % 11 == 0;
      const std::string vm = domain + "-" + std::to_string(number);
      fleet.push_back({vm, vm, domain, "north",
                       is_large ? VmCapacity{0.5, 200} : VmCapacity{0.1, 20}});
    }
  }
  return fleet;
}

size_t CountWith(const std::vector<std::string>& addresses,
                 const std::string& prefix) {
  return static_cast<size_t>(std::count_if(
      addresses.begin(), addresses.end(),
      [&](const std::string& one) { return one.starts_with(prefix); }));
}

// Guards against sending all clients of a region to a single failure domain,
// the one whose VM names sort first.
Test(Directory, RegionTooLargeForOneAnswer_OwnDomain_IsUsed) {
  const auto fleet = LargeRegion(44);
  for (const std::string domain : {"d1", "d2", "d3"}) {
    const auto addresses = ChooseAddresses(fleet, {"north", domain, {}});
    cr_expect_geq(addresses.size(), 8U);
    cr_expect_eq(CountWith(addresses, domain), addresses.size());
  }
}

// Guards against overloading small VMs while large ones are idle.
Test(Directory, DomainTooLargeForOneAnswer_LargeVms_CarryTheLoad) {
  const auto addresses = ChooseAddresses(LargeRegion(110), {"north", "d2", {}});
  cr_expect_eq(addresses.size(), 10U);
  for (size_t number = 0; number < 110; number += 11) {
    const std::string vm = "d2-" + std::to_string(number);
    cr_expect_eq(std::count(addresses.begin(), addresses.end(), vm), 1);
  }
}

// Guards against an answer of only one or two VMs after the loss of most of a
// domain.
Test(Directory, OwnDomainNearlyLost_Answer_IsFilledFromTheRegion) {
  auto fleet = LargeRegion(60);
  std::erase_if(fleet, [](const FleetMember& member) {
    return member.m_failure_domain == "d2" && member.m_vm != "d2-7";
  });
  const auto addresses = ChooseAddresses(fleet, {"north", "d2", {}});
  cr_expect_eq(addresses.size(), kMaxDirectoryAddresses);
  cr_expect_str_eq(addresses.front().c_str(), "d2-7");
}

// Guards against clients dropping their connections because adding or removing
// one VM changes the whole answer.
Test(Directory, LargeFleet_OneVmLeaves_OneAddressChanges) {
  const auto fleet = LargeRegion(110);
  const DirectoryQuery query{"north", "d2", {}};
  const auto before = ChooseAddresses(fleet, query);
  auto smaller = fleet;
  std::erase_if(smaller, [&](const FleetMember& member) {
    return member.m_client_address == before[5];
  });
  const auto after = ChooseAddresses(smaller, query);
  const auto kept =
      std::count_if(after.begin(), after.end(), [&](const std::string& one) {
        return std::find(before.begin(), before.end(), one) != before.end();
      });
  cr_expect_geq(kept, static_cast<long>(before.size()) - 1);
}

// Guards against evaluating the whole fleet for each query of a client.
Test(Directory, ManyQueries_FleetUnchanged_AreComputedOnce) {
  for (const size_t vms : {50, 100, 200}) {
    ClientDirectory directory;
    directory.SetFleet(LargeRegion(vms));
    for (int query = 0; query < 300; ++query) {
      directory.AddressesFor(
          {"north", "d" + std::to_string(query % 3 + 1), {}});
    }
    cr_expect_eq(directory.CacheMisses(), 3U);
    directory.SetFleet({});
    cr_expect(directory.AddressesFor({"north", "d1", {}}).empty());
  }
}

}  // namespace
}  // namespace sorrelplank
