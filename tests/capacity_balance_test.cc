/// @file capacity_balance_test.cc Which services count as unevenly spread.

#include <criterion/criterion.h>

#include "steer/capacity_balance_func.h"

namespace sorrelplank {
namespace {

constexpr double kRatio = 2;

TestSuite(CapacityBalance);

// Guards against evenly spread deployments getting other decisions.
Test(CapacityBalance, SimilarRegions_Even) {
  cr_assert_not(IsCapacityUneven({100, 130, 150}, kRatio));
}

Test(CapacityBalance, SmallRegion_Uneven) {
  cr_assert(IsCapacityUneven({12, 46, 54}, kRatio));
}

// Guards against a change of decisions when a region is lost, or a service is
// deployed in some regions only.
Test(CapacityBalance, RegionWithoutServers_NotCompared) {
  cr_assert_not(IsCapacityUneven({0, 100, 100}, kRatio));
  cr_assert_not(IsCapacityUneven({0, 0, 100}, kRatio));
  cr_assert_not(IsCapacityUneven({}, kRatio));
}

// Guards against new decisions where the settings turn them off.
Test(CapacityBalance, RatioIsZero_NeverUneven) {
  cr_assert_not(IsCapacityUneven({12, 46, 54}, 0));
}

// Guards against requests with short targets losing them on the way to another
// region.
Test(CapacityBalance, TargetUnderFewRoundTrips_OwnRegionFirst) {
  cr_assert_not(MayRunInAnyRegion(milliseconds(400)));
  cr_assert(MayRunInAnyRegion(milliseconds(500)));
}

}  // namespace
}  // namespace sorrelplank
