/// @file region_shares_test.cc Distribution of a service over regions.

#include "steer/region_shares.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace sorrelplank {
namespace {

constexpr size_t kRegions = 3;
constexpr size_t kOwn = 0;
constexpr RegionShares::Mask kAll = 0b111;
/// A third of the 0.15 that may move between two windows of 2 s; per second.
constexpr double kMaxShiftPerSecond = 0.05;
constexpr uint64_t kObjects = 2000;

/// The own region has a sixth of the slots, the last one half of them.
std::vector<RegionLoad> Loads(double own, double second, double third) {
  return {{10, 10, own}, {20, 20, second}, {30, 30, third}};
}

/// Shares after Start().
struct SharesFixture {
  RegionShares m_shares{kRegions, kOwn};
  TimePoint m_now{seconds(10)};

  SharesFixture() {
    m_shares.Update(Loads(0, 0, 0), kMaxShiftPerSecond, {}, m_now);
    m_shares.Start();
  }

  std::vector<size_t> RegionsOfObjects() const {
    std::vector<size_t> regions;
    for (uint64_t object = 0; object < kObjects; ++object) {
      regions.push_back(m_shares.RegionOf(object, kAll));
    }
    return regions;
  }

  void Run(const std::vector<RegionLoad>& loads,
           Duration time,
           const MovedAwayBounds& bounds = {}) {
    for (Duration step{}; step < time; step += milliseconds(100)) {
      m_now += milliseconds(100);
      m_shares.Update(loads, kMaxShiftPerSecond, bounds, m_now);
    }
  }
};

std::unique_ptr<SharesFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<SharesFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(RegionShares, .init = SetUp, .fini = TearDown);

Test(RegionShares, NotStarted_FewOwnSlots_RestGoesToRegionsWithSlots) {
  cr_assert_float_eq(g_fixture->m_shares.Share(0), 0.5, 0.01);
  cr_assert_float_eq(g_fixture->m_shares.Share(2), 0.5, 0.01);
}

// Servers register one after the other while the system starts. Shares set by
// the first few of them and then changed at the bounded rate would be wrong for
// many seconds.
Test(RegionShares, NotStarted_MoreServersRegister_SharesFollow) {
  RegionShares shares(kRegions, kOwn);
  shares.Update({{0, 0, 0}, {5, 5, 0}, {0, 0, 0}}, kMaxShiftPerSecond, {},
                TimePoint(seconds(1)));
  shares.Update(Loads(0, 0, 0), kMaxShiftPerSecond, {}, TimePoint(seconds(2)));
  cr_assert_float_eq(shares.Share(0), 0.5, 0.01);
}

// The own region is suddenly overloaded while other regions have spare
// capacity. Objects move there, but no two seconds move more than 0.15 of them,
// since the servers there have not cached a moved object.
Test(RegionShares, Overload_CapacityElsewhere_MovesWithinTheBound) {
  const auto before = g_fixture->RegionsOfObjects();
  g_fixture->Run(Loads(2, 0.2, 0.1), seconds(2));
  const auto after = g_fixture->RegionsOfObjects();
  size_t moved = 0;
  for (size_t object = 0; object < kObjects; ++object) {
    moved += before[object] != after[object] ? 1 : 0;
  }
  cr_assert_gt(moved, kObjects / 50);
  cr_assert_leq(moved, kObjects * 15 / 100);
}

// Another service has moved nothing. This one stops at the maximum difference
// between the two, however long it is overloaded.
Test(RegionShares, Overload_OtherServicesUnmoved_StopsAtMaxDifference) {
  g_fixture->Run(Loads(2, 0.2, 0.1), seconds(60), {.m_max = 0.15});
  cr_assert_float_eq(g_fixture->m_shares.MovedAway(), 0.15, 0.001);
}

// Another service stays in other regions. This one has spare capacity in its
// own region, but moves back only up to the maximum difference between the two,
// even though both other regions give objects back.
Test(RegionShares, Underload_OtherServicesMovedAway_StopsAtMaxDifference) {
  g_fixture->Run(Loads(2, 0.2, 0.1), seconds(1));
  g_fixture->Run(Loads(2, 0.1, 0.2), seconds(1));
  g_fixture->Run(Loads(0.2, 0.5, 0.5), seconds(60), {.m_min = -0.15});
  cr_assert_float_eq(g_fixture->m_shares.MovedAway(), -0.15, 1e-6);
}

Test(RegionShares, Overload_Everywhere_NothingMoves) {
  g_fixture->Run(Loads(2, 2, 2), seconds(5));
  cr_assert_float_eq(g_fixture->m_shares.Share(0), 0.5, 0.01);
}

Test(RegionShares, OwnServersRemoved_AnyLoad_AllObjectsMove) {
  g_fixture->Run({{0, 0, 0}, {20, 20, 0.5}, {30, 30, 0.5}}, milliseconds(100));
  const auto regions = g_fixture->RegionsOfObjects();
  cr_assert_eq(std::count(regions.begin(), regions.end(), kOwn), 0);
}

// Every server of the own region refuses connections, or is cold and used by
// another entry VM only. All objects move elsewhere at once, and back once the
// region is reachable again.
Test(RegionShares, OwnServersUnreachable_AnyLoad_AllObjectsMove) {
  const auto before = g_fixture->RegionsOfObjects();
  g_fixture->Run({{10, 0, 1}, {20, 20, 1}, {30, 30, 1}}, milliseconds(100));
  const auto away = g_fixture->RegionsOfObjects();
  cr_assert_eq(std::count(away.begin(), away.end(), kOwn), 0);
  g_fixture->Run(Loads(1, 1, 1), milliseconds(100));
  cr_assert(before == g_fixture->RegionsOfObjects());
}

// No region is reachable: this VM itself is cut off, or everything has just
// started. The shares apply as before, instead of choosing no region.
Test(RegionShares, AllUnreachable_AnyLoad_SharesStillApply) {
  const auto before = g_fixture->RegionsOfObjects();
  g_fixture->Run({{10, 0, 1}, {20, 0, 1}, {30, 0, 1}}, milliseconds(100));
  cr_assert(before == g_fixture->RegionsOfObjects());
}

// Requests with home regions run only there, even if these have no share.
Test(RegionShares, HomeRegionWithoutShare_Object_RunsInHomeRegion) {
  cr_assert_eq(g_fixture->m_shares.RegionOf(7, 0b010), 1);
}

Test(RegionShares, HomeRegionWithoutServers_Object_HasNoRegion) {
  g_fixture->Run({{10, 10, 0}, {0, 0, 0}, {30, 30, 0}}, milliseconds(100));
  cr_assert_eq(g_fixture->m_shares.RegionOf(7, 0b010), kRegions);
}

}  // namespace
}  // namespace sorrelplank
