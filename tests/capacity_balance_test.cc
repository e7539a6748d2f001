/// @file capacity_balance_test.cc Which services count as unevenly spread.

#include <criterion/criterion.h>

#include "steer/capacity_balance_func.h"

namespace sorrelplank {
namespace {

TestSuite(CapacityBalance);

// Guards against evenly spread deployments getting other decisions.
Test(CapacityBalance, SimilarRegions_Even) {
  cr_assert_not(IsCapacityUneven({100, 130, 150}));
}

Test(CapacityBalance, SmallRegion_Uneven) {
  cr_assert(IsCapacityUneven({12, 46, 54}));
}

// Guards against a change of decisions when a region is lost, or a service is
// deployed in some regions only.
Test(CapacityBalance, RegionWithoutServers_NotCompared) {
  cr_assert_not(IsCapacityUneven({0, 100, 100}));
  cr_assert_not(IsCapacityUneven({0, 0, 100}));
  cr_assert_not(IsCapacityUneven({}));
}

}  // namespace
}  // namespace sorrelplank
