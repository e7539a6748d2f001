/// @file crashing_request_test.cc Requests that end the servers that run them.

#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

#include "tests/crash_world.h"
#include "tests/steering_fixture.h"

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

// Many VMs, and news as late as a relay that fell silent makes it. The request
// comes ten times a second, each time to another VM. Servers end until the news
// is there, and no longer.
Test(CrashingRequest, ManyVms_LateNews_ReachesThreeMoreAtMost) {
  CrashWorld world(30, 60, 1, seconds(2));
  world.MakeCrashing(kCrashing);
  world.StartSoundRequests(120);
  world.RunFor(seconds(3));
  for (int attempt = 0; attempt < 200; ++attempt) {
    world.Ask(world.AnyVm(), kCrashing, 4);
    world.RunFor(milliseconds(100));
  }
  cr_assert_leq(world.ReachedAfterThirdEnd(kCrashing, kContact), 3);
}

// One VM hears nothing of the others. It lets the request through until it has
// seen three ends itself, and no longer.
Test(CrashingRequest, Repeated_OneVmHearsNothing_ThatOneEndsThreeMore) {
  CrashWorld world(12, 14, 1);
  world.CutOffFromNews(5);
  RepeatForHalfAMinute(world);
  for (int attempt = 0; attempt < 20; ++attempt) {
    world.Ask(5, kCrashing, 4);
    world.RunFor(seconds(1));
  }
  cr_assert_leq(world.EndedUnder(kCrashing), 6);
}

// The request is held back. A VM that starts then has seen none of it, and
// would let it through once more for each of its own three ends.
Test(CrashingRequest, HeldBack_VmStartsAnew_HoldsItBackToo) {
  CrashWorld world(12, 14, 1);
  RepeatForHalfAMinute(world);
  const size_t ended = world.EndedUnder(kCrashing);
  for (size_t vm = 0; vm < world.Vms(); ++vm) {
    world.Restart(vm);
    world.Ask(vm, kCrashing, 4);
    world.RunFor(seconds(1));
  }
  cr_assert_eq(world.EndedUnder(kCrashing), ended);
}

// Servers end for reasons of their own, one after the other, under load. The
// requests that were there have ended none; a caller whose request is held back
// is told to come back in a day.
Test(CrashingRequest, ServersEndByThemselves_NoRequest_IsHeldBack) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashWorld world(12, 14, seed);
    world.StartSoundRequests(300);
    for (size_t second = 0; second < 60; ++second) {
      world.Crash(second % 14);
      world.RunFor(seconds(1));
    }
    cr_assert_eq(world.HeldBack(), 0, "seed %u", seed);
  }
}

// A server closes its connections, and goes on. Whatever was there may be sent
// on; no server ended under it.
Test(CrashingRequest, ConnectionsReset_NoRequest_IsSuspected) {
  CrashWorld world(12, 14, 1);
  world.StartSoundRequests(300);
  for (size_t second = 0; second < 30; ++second) {
    world.ResetConnections(second % 14);
    world.RunFor(seconds(1));
  }
  cr_assert_eq(world.Suspected(), 0);
}

/// One VM that is told of servers that ended under a request.
struct TellingFixture : SteeringFixture {
  RequestDigest m_digest{.m_high = 3, .m_low = 3};

  void TellEnds(std::initializer_list<const char*> runs) {
    for (const char* run : runs) {
      m_steering.ApplyPeerCrash({m_digest, run}, seconds(1), m_now);
    }
  }
  SendToServer SendAgain(const std::string& path) {
    ArriveAgain(path, m_digest);
    return *Last<SendToServer>();
  }
  size_t Ends() const { return m_steering.Crashes().Ends(m_digest, m_now); }
};

// A request was at two servers' ends by chance. The next server answers it, so
// it ends none; two more ends by chance must not hold it back.
Test(CrashingRequest, AnsweredAfterTwoEnds_Suspicion_IsOver) {
  TellingFixture fixture;
  fixture.TellEnds({"old-1", "old-2"});
  fixture.End(fixture.SendAgain("/read/x"), AttemptEnd::kAnswered);
  cr_assert_eq(fixture.Last<CrashesForgotten>()->m_facts.size(), 2);
  fixture.TellEnds({"old-3", "old-4"});
  cr_assert_eq(fixture.Count<RequestHeld>(), 0);
}

// A rejection says that the server did not run the request. It says nothing of
// what would come of running it.
Test(CrashingRequest, RejectedAfterTwoEnds_Suspicion_Stays) {
  TellingFixture fixture;
  fixture.TellEnds({"old-1", "old-2"});
  fixture.End(fixture.SendAgain("/read/x"), AttemptEnd::kRejected);
  cr_assert_eq(fixture.Ends(), 2);
}

// The third end becomes known while the request is under way again. Its server
// has perhaps not begun with it, and drops it with the connection; the caller
// can't be told that it did not run.
Test(CrashingRequest, UnderWay_ThirdEndIsTold_IsGivenUp) {
  TellingFixture fixture;
  fixture.SendAgain("/read/x");
  fixture.TellEnds({"old-1", "old-2", "old-3"});
  cr_assert_eq(fixture.Count<CancelSend>(), 1);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kLost);
  fixture.ArriveAgain("/read/x", fixture.m_digest);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kHeldBack);
  cr_assert_eq(fixture.Count<SendToServer>(), 1);
  cr_assert_gt(fixture.Last<RefuseRequest>()->m_retry_after,
               std::chrono::hours(23));
}

// An operator releases a request whose cause is mended, by removing what was
// noted of it.
Test(CrashingRequest, HeldBack_FactsRemoved_IsSentAgain) {
  TellingFixture fixture;
  fixture.TellEnds({"old-1", "old-2", "old-3"});
  for (const char* run : {"old-1", "old-2", "old-3"}) {
    fixture.m_steering.DropCrash({fixture.m_digest, run}, fixture.m_now);
  }
  cr_assert_eq(fixture.Count<HoldEnded>(), 1);
  fixture.SendAgain("/read/x");
  cr_assert_eq(fixture.Count<SendToServer>(), 1);
}

// A server ends, and the request has been at one server's end before. It waits
// until it is known whether this one ended as well: if it only lost the answer,
// the request is sent on; if it ended, it is not.
Test(CrashingRequest, SecondServerLosesIt_NextSend_WaitsForTheCheck) {
  for (const ServerReach reach : {ServerReach::kOpens, ServerReach::kRefuses}) {
    TellingFixture fixture;
    fixture.TellEnds({"old-1"});
    const SendToServer send = fixture.SendAgain("/read/x");
    fixture.End(send, AttemptEnd::kLost);
    cr_assert_eq(fixture.Count<SendToServer>(), 1);
    fixture.m_steering.ServerChecked(send.m_instance, reach, fixture.m_now);
    const bool opens = reach == ServerReach::kOpens;
    cr_assert_eq(fixture.Count<SendToServer>(), opens ? 2 : 1);
    cr_assert_eq(fixture.Ends(), opens ? 1 : 2);
  }
}

// The caller leaves before it is known whether the server ended. The end counts
// all the same.
Test(CrashingRequest, CallerLeavesBeforeTheCheck_End_Counts) {
  TellingFixture fixture;
  const SendToServer send = fixture.SendAgain("/write/x");
  fixture.End(send, AttemptEnd::kLost);
  fixture.m_steering.ClientLeft(send.m_request, fixture.m_now);
  fixture.m_steering.ServerChecked(send.m_instance, ServerReach::kRefuses,
                                   fixture.m_now);
  cr_assert_eq(fixture.Ends(), 1);
}

// A server restarts under its id while a write runs there. That its run has
// ended is told by its entry; nothing has to be checked.
Test(CrashingRequest, ServerStartsAgainUnderItsId_EndCounts_WithoutACheck) {
  TellingFixture fixture;
  const auto put = [&](const std::string& server, milliseconds start) {
    fixture.m_steering.PutServer(
        {server, "s", {1, 80}, "d1", 2, false, {}, start}, fixture.m_now);
  };
  put("a", milliseconds(1000));
  put("b", milliseconds(1000));
  put(fixture.SendAgain("/write/x").m_instance, milliseconds(2000));
  cr_assert_eq(fixture.Ends(), 1);
  cr_assert_eq(fixture.Count<CheckServerReachable>(), 0);
}

// A server that leaves closes its connections at its planned end.
Test(CrashingRequest, LeavingServer_ClosesConnections_IsNoEnd) {
  TellingFixture fixture;
  const SendToServer send = fixture.SendAgain("/write/x");
  fixture.PutServer(send.m_instance, send.m_instance == "a" ? "d1" : "d2",
                    true);
  fixture.End(send, AttemptEnd::kLost);
  cr_assert_eq(fixture.Count<CheckServerReachable>(), 0);
}

}  // namespace
}  // namespace sorrelplank
