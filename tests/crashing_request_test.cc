/// @file crashing_request_test.cc Requests that end the servers that run them.

#include <criterion/criterion.h>

#include "tests/crash_world.h"

namespace sorrelplank {
namespace {

/// Entry VMs know within this time what any of them has learned.
constexpr Duration kContact = seconds(4);
constexpr RequestDigest kCrashing{.m_high = 2, .m_low = 1};

/// A caller repeats a request that ends servers, at any VM, for half a minute,
/// while others ask for other things.
void RepeatForHalfAMinute(CrashWorld& world) {
  world.MakeCrashing(kCrashing);
  world.StartSoundRequests(120);
  world.RunFor(seconds(3));
  for (int attempt = 0; attempt < 60; ++attempt) {
    world.Ask(world.AnyVm(), kCrashing, 4);
    world.RunFor(milliseconds(500));
  }
}

// Callers of a service are refused or get 502, for as long as one caller
// repeats a request that ends each server that begins to run it.
// The request is sent on to a second server as soon as the first one is gone,
// and to others by other entry VMs, each time that its caller asks again.
// Servers that are back some seconds later end in the same way.
// Nothing was known of a request beyond one attempt at one VM: 51 to 58 sends
// came too late, and 43 to 46 with one send an attempt, so that the second
// sends were not the cause. Now all VMs know which servers ended under it.
Test(CrashingRequest, Repeated_AfterItsThirdServer_ReachesThreeMoreAtMost) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashWorld world(12, 14, seed);
    RepeatForHalfAMinute(world);
    const size_t reached = world.ReachedAfterThirdEnd(kCrashing, kContact);
    cr_expect_leq(reached, 3,
                  "seed %u: %zu sends after the third end, %zu ended", seed,
                  reached, world.EndedUnder(kCrashing));
  }
}

}  // namespace
}  // namespace sorrelplank
