/// @file directory_test.cc Which entry VMs a client is told to use.

#include <criterion/criterion.h>

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

// All entry VMs of the client's region are gone. Requests with home regions
// must not have their bodies sent to a VM elsewhere.
Test(Directory, OwnRegionEmpty_HostHasHomes_NamesTheHomes) {
  const auto addresses = ChooseAddresses(kFleet, {"east", "d9", {"south"}});
  cr_assert_eq(addresses.size(), 1);
  cr_assert_str_eq(addresses[0].c_str(), "3:1");
}

Test(Directory, NothingFits_AnyVm_IsBetterThanNone) {
  cr_assert_eq(ChooseAddresses(kFleet, {"east", "d9", {"moon"}}).size(), 4);
  cr_assert(ChooseAddresses({}, {"north", "d1", {}}).empty());
}

Test(Directory, LargeFleet_Answer_StaysWithinItsBound) {
  const std::vector<FleetMember> fleet(100, kFleet[0]);
  cr_assert_eq(ChooseAddresses(fleet, {"north", "d1", {}}).size(),
               kMostDirectoryAddresses);
}

}  // namespace
}  // namespace sorrelplank
