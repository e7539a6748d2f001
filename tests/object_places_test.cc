/// @file object_places_test.cc How many servers the objects of a service get.

#include "steer/object_places.h"

#include <criterion/criterion.h>

#include "tests/placement_fleet.h"

namespace sorrelplank {
namespace {

/// 300 objects, as a VM sees them, in a fleet of so many servers.
struct PlacesFixture {
  ObjectPlaces m_places;
  TimePoint m_now{seconds(100)};

  PlacesFixture() {
    for (uint64_t object = 0; object < 300; ++object) {
      m_places.AddObject(object, m_now);
    }
  }

  /// Lets time pass with work that takes so long; the target is 800 ms.
  Placement After(Duration time, size_t servers, Duration usual) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      m_now += milliseconds(100);
      m_places.Update({.m_servers = servers,
                       .m_regions = 3,
                       .m_usual_latency = usual,
                       .m_target = milliseconds(800)},
                      m_now);
    }
    return m_places.Get();
  }
};

TestSuite(ObjectPlaces);

Test(ObjectPlaces, Sketch_UnionOfVms_CountsEachObjectOnce) {
  ObjectSketch all;
  for (uint64_t vm = 0; vm < 10; ++vm) {
    ObjectSketch seen;
    for (uint64_t object = 0; object < 300; object += 1 + vm % 3) {
      seen.Add(object);
    }
    all.Merge(ObjectSketch::FromBytes(seen.ToBytes()));
  }
  cr_expect_gt(all.Estimate(), 300 * 0.6);
  cr_expect_lt(all.Estimate(), 300 * 1.5);
  cr_expect_eq(ObjectSketch::FromBytes("too short"), ObjectSketch());
  cr_expect_eq(ObjectSketch::FromBytes(std::string(32, '\xff')),
               ObjectSketch());
}

Test(ObjectPlaces, ManyServers_WorkMissesTarget_PlacementStays) {
  PlacesFixture fixture;
  const Placement placement = fixture.After(seconds(5), 500, seconds(1));
  cr_expect(placement == Placement::kTwoARegion);
}

Test(ObjectPlaces, FewServers_WorkMeetsTarget_PlacementStays) {
  PlacesFixture fixture;
  const Placement placement = fixture.After(seconds(5), 28, milliseconds(400));
  cr_expect(placement == Placement::kTwoARegion);
}

Test(ObjectPlaces, FewServers_WorkMissesTarget_PlacesAreTakenAway) {
  PlacesFixture fixture;
  const Placement placement = fixture.After(seconds(5), 28, seconds(1));
  cr_expect(placement == Placement::kOneInAll);
}

// Fewer places make work fast again. Taken as a reason to give places back,
// that would make it slow again, and so on.
Test(ObjectPlaces, WorkMeetsTargetAgain_SameObjects_PlacementStays) {
  PlacesFixture fixture;
  fixture.After(seconds(5), 28, seconds(1));
  const Placement placement = fixture.After(seconds(10), 28, milliseconds(300));
  cr_expect(placement == Placement::kOneInAll);
}

Test(ObjectPlaces, ServersAdded_FewObjectsEach_PlacesAreGivenBack) {
  PlacesFixture fixture;
  fixture.After(seconds(5), 28, seconds(1));
  const Placement placement =
      fixture.After(seconds(5), 1000, milliseconds(300));
  cr_expect(placement == Placement::kTwoARegion);
}

// A VM restarts while the others place each object once. It has seen no load;
// by its own choice it would send each object to servers that are not warm for
// it.
Test(ObjectPlaces, VmStarts_OthersPlaceOnce_PlacesAsTheyDo) {
  ObjectPlaces fresh;
  fresh.Take(ObjectSketch(), Placement::kOneInAll, TimePoint(seconds(100)));
  cr_expect(fresh.Get() == Placement::kOneInAll);
  ObjectPlaces running;
  running.Start();
  running.Take(ObjectSketch(), Placement::kOneInAll, TimePoint(seconds(100)));
  cr_expect(running.Get() == Placement::kTwoARegion);
}

// A small fleet: 27 servers that remember 20 objects each, and 300 objects.
// With two servers in each of three regions no object is warm when it comes
// back, work takes four times as long, and most callers are answered late or
// not at all. With one place an object the same servers have each object of
// theirs at hand, and the same load is a third of what they can do.
Test(ObjectPlaces,
     SmallFleet_MoreObjectsThanMemory_BecomesWarm,
     .timeout = 120) {
  PlacementFleet fleet{PlacementShape()};
  fleet.RunFor(seconds(30));
  const PlacementCounts later = fleet.RunFor(seconds(10));
  cr_expect_gt(later.WarmPart(), 0.8, "warm %.2f", later.WarmPart());
  cr_expect_gt(later.InTargetPart(), 0.8, "in target %.2f",
               later.InTargetPart());
}

// The same load on ten times the servers: each has few objects, and the work
// stays near the callers as before.
Test(ObjectPlaces,
     LargeFleet_FewObjectsEach_StaysWarmInItsRegions,
     .timeout = 120) {
  PlacementShape shape;
  shape.m_servers_per_region = 90;
  shape.m_requests_per_second = 400;
  PlacementFleet fleet(shape);
  fleet.RunFor(seconds(15));
  const PlacementCounts later = fleet.RunFor(seconds(10));
  cr_expect_gt(later.WarmPart(), 0.8, "warm %.2f", later.WarmPart());
  cr_expect_lt(later.m_largest_shift, 0.05, "shift %.3f",
               later.m_largest_shift);
}

// While the placement changes, whole objects change region. Of a region's
// requests no more than the bound may do so between two windows of 2 s.
Test(ObjectPlaces,
     PlacementChanges_AnySeed_ShiftStaysWithinTheBound,
     .timeout = 300) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PlacementShape shape;
    shape.m_seed = seed;
    shape.m_requests_per_second = 200;
    PlacementFleet fleet(shape);
    fleet.RunFor(seconds(8));
    const PlacementCounts counts = fleet.RunFor(seconds(20));
    cr_expect_leq(counts.m_largest_shift, 0.15, "seed %lu: %.3f",
                  static_cast<unsigned long>(seed), counts.m_largest_shift);
  }
}

// All VMs restart one after the other, while each object has one place. Without
// the word of the others each would take two servers a region again.
Test(ObjectPlaces, VmsRestart_PlacedOnce_StaysWarm, .timeout = 120) {
  PlacementFleet fleet{PlacementShape()};
  fleet.RunFor(seconds(30));
  for (size_t vm = 0; vm < fleet.VmCount(); ++vm) {
    fleet.Restart(vm);
    fleet.RunFor(milliseconds(700));
  }
  const PlacementCounts later = fleet.RunFor(seconds(5));
  cr_expect_gt(later.WarmPart(), 0.8, "warm %.2f", later.WarmPart());
}

}  // namespace
}  // namespace sorrelplank
