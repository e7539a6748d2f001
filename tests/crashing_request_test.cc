/// @file crashing_request_test.cc Requests that crash the servers that run
/// them.

#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

#include "tests/crash_simulation.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Crash records of one entry VM reach all others within this time.
constexpr Duration kPropagationTime = seconds(4);
constexpr RequestDigest kCrashing{.m_high = 2, .m_low = 1};

/// A caller repeats a crashing request at random VMs for half a minute, while
/// other callers send normal requests.
void RepeatCrashingRequest(CrashSimulation& simulation) {
  simulation.MakeCrashing(kCrashing);
  simulation.StartNormalRequests(120);
  simulation.RunFor(seconds(3));
  for (int attempt = 0; attempt < 60; ++attempt) {
    simulation.SendRequest(simulation.RandomVm(), kCrashing, 4);
    simulation.RunFor(milliseconds(500));
  }
}

// Guards against a request that keeps crashing servers while its caller repeats
// it, so that other callers are refused or get 502. The request is retried at a
// second server when the first one crashes, and reaches further servers through
// other entry VMs; restarted servers crash again. Without crash records shared
// by all VMs, 51 to 58 sends reached servers too late; with a single send per
// attempt it was still 43 to 46, so retries were not the cause.
Test(CrashingRequest, Repeated_AfterThirdCrash_ReachesThreeMoreAtMost) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashSimulation simulation(12, 14, seed);
    RepeatCrashingRequest(simulation);
    const size_t reached =
        simulation.ArrivalsAfterThirdCrash(kCrashing, kPropagationTime);
    cr_expect_leq(reached, 3,
                  "seed %u: %zu sends after the third crash, %zu crashed", seed,
                  reached, simulation.CrashedRuns(kCrashing));
  }
}

// Many VMs, and crash records as late as after the loss of a relay. The request
// comes ten times a second at random VMs. Servers may crash only until the
// records have propagated.
Test(CrashingRequest, ManyVms_LateCrashRecords_ReachesThreeMoreAtMost) {
  CrashSimulation simulation(30, 60, 1, seconds(2));
  simulation.MakeCrashing(kCrashing);
  simulation.StartNormalRequests(120);
  simulation.RunFor(seconds(3));
  for (int attempt = 0; attempt < 200; ++attempt) {
    simulation.SendRequest(simulation.RandomVm(), kCrashing, 4);
    simulation.RunFor(milliseconds(100));
  }
  cr_assert_leq(simulation.ArrivalsAfterThirdCrash(kCrashing, kPropagationTime),
                3);
}

// One VM gets no crash records of the others. It may send the request only
// until it has seen three crashes itself.
Test(CrashingRequest, Repeated_OneVmCutOff_CrashesThreeMoreThere) {
  CrashSimulation simulation(12, 14, 1);
  simulation.CutOffFromCrashRecords(5);
  RepeatCrashingRequest(simulation);
  for (int attempt = 0; attempt < 20; ++attempt) {
    simulation.SendRequest(5, kCrashing, 4);
    simulation.RunFor(seconds(1));
  }
  cr_assert_leq(simulation.CrashedRuns(kCrashing), 6);
}

// The request is held back. A restarted VM that did not read the crash records
// would send it until it has seen three crashes itself.
Test(CrashingRequest, HeldBack_RestartedVm_HoldsItBackToo) {
  CrashSimulation simulation(12, 14, 1);
  RepeatCrashingRequest(simulation);
  const size_t ended = simulation.CrashedRuns(kCrashing);
  for (size_t vm = 0; vm < simulation.Vms(); ++vm) {
    simulation.Restart(vm);
    simulation.SendRequest(vm, kCrashing, 4);
    simulation.RunFor(seconds(1));
  }
  cr_assert_eq(simulation.CrashedRuns(kCrashing), ended);
}

// Servers crash for other reasons, one after the other, under load. None of the
// requests there caused it, and none may be held back: its caller would be
// refused for a day.
Test(CrashingRequest, ServersCrashForOtherReasons_NoRequest_IsHeldBack) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashSimulation simulation(12, 14, seed);
    simulation.StartNormalRequests(300);
    for (size_t second = 0; second < 60; ++second) {
      simulation.Crash(second % 14);
      simulation.RunFor(seconds(1));
    }
    cr_assert_eq(simulation.HeldBack(), 0, "seed %u", seed);
  }
}

// A server closes its connections and keeps running. The requests there may be
// retried; they crashed no server.
Test(CrashingRequest, ConnectionsReset_NoRequest_IsSuspected) {
  CrashSimulation simulation(12, 14, 1);
  simulation.StartNormalRequests(300);
  for (size_t second = 0; second < 30; ++second) {
    simulation.ResetConnections(second % 14);
    simulation.RunFor(seconds(1));
  }
  cr_assert_eq(simulation.Suspected(), 0);
}

constexpr RequestDigest kPopular{.m_high = 4, .m_low = 1};

// The servers of a failure domain crash at one moment under a request that many
// callers send. It was refused for a day, though other servers answered it.
Test(CrashingRequest, DomainCrashes_PopularRequest_IsNotHeldBack) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashSimulation simulation(6, 14, seed);
    simulation.SendRepeatedly(kPopular, milliseconds(5), seconds(3));
    simulation.CrashDomain("d1");
    const size_t answered =
        simulation.SendRepeatedly(kPopular, milliseconds(5), seconds(3));
    cr_expect_gt(answered, 400, "seed %u: %zu of 600", seed, answered);
    cr_expect_eq(simulation.HeldBack(), 0, "seed %u", seed);
  }
}

// The same while no server has answered the request yet: the first callers send
// it at once. The servers that did not crash answer it.
Test(CrashingRequest, DomainCrashes_FirstRunsAreUnderWay_IsReleasedByTheirs) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashSimulation simulation(12, 14, seed, milliseconds(20));
    simulation.SendRepeatedly(kPopular, milliseconds(1), milliseconds(40));
    simulation.CrashDomain("d1");
    simulation.RunFor(seconds(2));
    const size_t answered =
        simulation.SendRepeatedly(kPopular, milliseconds(50), seconds(2));
    cr_expect_gt(answered, 30, "seed %u: %zu of 40", seed, answered);
  }
}

// Several callers send a crashing request at the same moment, again and again.
// Its crashes coincide like those of a failure domain.
Test(CrashingRequest, RepeatedByManyAtOnce_ThirdCrash_ReachesThreeMoreAtMost) {
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    CrashSimulation simulation(12, 14, seed);
    simulation.MakeCrashing(kCrashing);
    simulation.StartNormalRequests(120);
    simulation.RunFor(seconds(3));
    for (int burst = 0; burst < 10; ++burst) {
      for (int caller = 0; caller < 4; ++caller) {
        simulation.SendRequest(simulation.RandomVm(), kCrashing, 4);
      }
      simulation.RunFor(seconds(3));
    }
    const size_t reached =
        simulation.ArrivalsAfterThirdCrash(kCrashing, kPropagationTime);
    cr_expect_leq(reached, 3, "seed %u: %zu sends", seed, reached);
  }
}

// A popular request is at the servers that another one crashes. Only the other
// one may be held back.
Test(CrashingRequest, CrashesBesideAPopularRequest_ThatOne_IsServed) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    CrashSimulation simulation(12, 14, seed);
    simulation.MakeCrashing(kCrashing);
    simulation.SendRepeatedly(kPopular, milliseconds(20), seconds(2));
    for (int attempt = 0; attempt < 20; ++attempt) {
      simulation.SendRequest(simulation.RandomVm(), kCrashing, 4);
      simulation.SendRepeatedly(kPopular, milliseconds(20), milliseconds(300));
    }
    cr_expect_leq(simulation.HeldBack(), simulation.Vms(), "seed %u", seed);
    cr_expect_leq(
        simulation.ArrivalsAfterThirdCrash(kCrashing, kPropagationTime), 3);
    simulation.RunFor(seconds(6));
    const size_t answered =
        simulation.SendRepeatedly(kPopular, milliseconds(20), seconds(2));
    cr_expect_gt(answered, 80, "seed %u: %zu of 100", seed, answered);
  }
}

/// A single VM with crash records of one request.
struct CrashRecordFixture : SteeringFixture {
  RequestDigest m_digest{.m_high = 3, .m_low = 3};

  /// Servers that crashed together a second ago, under runs that lasted longer.
  void AddCoincidentCrashes(std::initializer_list<const char*> runs) {
    for (const char* run : runs) {
      m_steering.ApplyPeerCrash(
          {m_digest, run},
          {.m_age = seconds(1), .m_under_way = milliseconds(60)}, m_now);
    }
  }
  void AddCrashes(std::initializer_list<const char*> runs) {
    for (const char* run : runs) {
      m_steering.ApplyPeerCrash({m_digest, run}, {.m_age = seconds(1)}, m_now);
    }
  }
  SendToServer SendAgain(const std::string& path) {
    ArriveAgain(path, m_digest);
    return *Last<SendToServer>();
  }
  size_t CrashCount() const {
    return m_steering.Crashes().CrashCount(m_digest, m_now);
  }
};

// A request was at two crashing servers by chance. The next server answers it,
// which shows that it crashes none; two more crashes must not hold it back.
Test(CrashingRequest, AnsweredAfterTwoCrashes_Records_AreCleared) {
  CrashRecordFixture fixture;
  fixture.AddCrashes({"old-1", "old-2"});
  fixture.End(fixture.SendAgain("/read/x"), AttemptEnd::kAnswered);
  cr_assert_eq(fixture.Last<CrashesDropped>()->m_records.size(), 2);
  fixture.AddCrashes({"old-3", "old-4"});
  cr_assert_eq(fixture.Count<RequestHeld>(), 0);
}

// A rejection means that the server did not run the request, so it does not
// show whether running it crashes the server.
Test(CrashingRequest, RejectedAfterTwoCrashes_Records_Stay) {
  CrashRecordFixture fixture;
  fixture.AddCrashes({"old-1", "old-2"});
  fixture.End(fixture.SendAgain("/read/x"), AttemptEnd::kRejected);
  cr_assert_eq(fixture.CrashCount(), 2);
}

// The third crash becomes known while the request is in flight again. Its
// server may not have started it yet and then drops it with the connection, but
// the caller can't be told that it did not run.
Test(CrashingRequest, InFlight_ThirdCrashBecomesKnown_IsCancelled) {
  CrashRecordFixture fixture;
  fixture.SendAgain("/read/x");
  fixture.AddCrashes({"old-1", "old-2", "old-3"});
  cr_assert_eq(fixture.Count<CancelSend>(), 1);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kLost);
  fixture.ArriveAgain("/read/x", fixture.m_digest);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kHeldBack);
  cr_assert_eq(fixture.Count<SendToServer>(), 1);
  cr_assert_gt(fixture.Last<RefuseRequest>()->m_retry_after,
               std::chrono::hours(23));
}

// A run at a sound server began before others crashed together. It was
// cancelled, and with it the response that shows that the request crashes none.
Test(CrashingRequest, RunIsOlderThanTheCrashes_Hold_DoesNotCancelIt) {
  CrashRecordFixture fixture;
  const SendToServer send = fixture.SendAgain("/read/x");
  fixture.m_now += seconds(2);
  fixture.AddCoincidentCrashes({"old-1", "old-2", "old-3"});
  cr_assert_eq(fixture.Count<RequestHeld>(), 1);
  cr_assert_eq(fixture.Count<CancelSend>(), 0);
  fixture.End(send, AttemptEnd::kAnswered);
  cr_assert_eq(fixture.Count<HoldEnded>(), 1);
}

// Servers that crashed together had a request that none has answered. It was
// refused for a day, although a single run would have released it.
Test(CrashingRequest, CoincidentCrashes_OneRun_IsTriedAndReleases) {
  CrashRecordFixture fixture;
  fixture.AddCoincidentCrashes({"old-1", "old-2", "old-3"});
  fixture.ArriveAgain("/read/x", fixture.m_digest);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kHeldBack);
  cr_assert_leq(fixture.Last<RefuseRequest>()->m_retry_after, seconds(2));
  fixture.m_now += seconds(2);
  const SendToServer trial = fixture.SendAgain("/read/x");
  fixture.ArriveAgain("/read/x", fixture.m_digest);
  cr_assert_eq(fixture.Count<SendToServer>(), 1);
  fixture.End(trial, AttemptEnd::kAnswered);
  cr_assert_eq(fixture.Count<HoldEnded>(), 1);
  fixture.SendAgain("/read/x");
  cr_assert_eq(fixture.Count<SendToServer>(), 2);
}

// The trial is rejected by a full server, or not sent at all, several times.
// It shows nothing, and must not use up the trials.
Test(CrashingRequest, TrialsAreNotRun_LaterOne_IsStillSent) {
  CrashRecordFixture fixture;
  fixture.AddCoincidentCrashes({"old-1", "old-2", "old-3"});
  fixture.m_now += seconds(2);
  for (int trial = 0; trial < 5; ++trial) {
    fixture.Pass(seconds(3));
    const size_t sends = fixture.Count<SendToServer>();
    const SendToServer send = fixture.SendAgain("/read/x");
    cr_assert_eq(fixture.Count<SendToServer>(), sends + 1, "trial %d", trial);
    fixture.End(send,
                trial % 2 == 0 ? AttemptEnd::kRejected : AttemptEnd::kNotSent);
  }
}

// The request does crash servers: the trials end, and it is refused for a day.
Test(CrashingRequest, EachTrialCrashesAServer_Request_IsHeldForADay) {
  CrashRecordFixture fixture;
  fixture.AddCoincidentCrashes({"old-1", "old-2", "old-3"});
  milliseconds start(1000);
  const auto restart = [&](const std::string& server) {
    start += milliseconds(1000);
    fixture.m_steering.PutServer(
        {server, "s", {1, 80}, "d1", 2, false, {}, start}, fixture.m_now);
  };
  restart("a");
  restart("b");
  for (int attempt = 0; attempt < 100; ++attempt) {
    fixture.Pass(seconds(2));
    const size_t sends = fixture.Count<SendToServer>();
    fixture.ArriveAgain("/write/x", fixture.m_digest);
    fixture.Pass(milliseconds(60));
    if (fixture.Count<SendToServer>() > sends) {
      restart(fixture.Last<SendToServer>()->m_instance);
    }
  }
  cr_assert_leq(fixture.Count<SendToServer>(), 3);
  cr_assert_gt(fixture.Last<RefuseRequest>()->m_retry_after,
               std::chrono::hours(23));
}

// An operator releases a request whose cause is fixed by removing its records.
Test(CrashingRequest, HeldBack_RecordsRemoved_IsSentAgain) {
  CrashRecordFixture fixture;
  fixture.AddCrashes({"old-1", "old-2", "old-3"});
  for (const char* run : {"old-1", "old-2", "old-3"}) {
    fixture.m_steering.DropCrash({fixture.m_digest, run}, fixture.m_now);
  }
  cr_assert_eq(fixture.Count<HoldEnded>(), 1);
  fixture.SendAgain("/read/x");
  cr_assert_eq(fixture.Count<SendToServer>(), 1);
}

// A server loses a request that already has one crash record. The request waits
// until it is known whether this server crashed as well: if only the response
// was lost, the request is retried; if the server crashed, it is not.
Test(CrashingRequest, LostBySecondServer_Retry_WaitsForTheCheck) {
  for (const ServerReach reach :
       {ServerReach::kAcceptsConnections, ServerReach::kRefusesConnections}) {
    CrashRecordFixture fixture;
    fixture.AddCrashes({"old-1"});
    const SendToServer send = fixture.SendAgain("/read/x");
    fixture.End(send, AttemptEnd::kLost);
    cr_assert_eq(fixture.Count<SendToServer>(), 1);
    fixture.m_steering.ServerChecked(send.m_instance, reach, fixture.m_now);
    const bool opens = reach == ServerReach::kAcceptsConnections;
    cr_assert_eq(fixture.Count<SendToServer>(), opens ? 2 : 1);
    cr_assert_eq(fixture.CrashCount(), opens ? 1 : 2);
  }
}

// The caller disconnects before it is known whether the server crashed. The
// crash counts nevertheless.
Test(CrashingRequest, CallerLeavesBeforeTheCheck_Crash_Counts) {
  CrashRecordFixture fixture;
  const SendToServer send = fixture.SendAgain("/write/x");
  fixture.End(send, AttemptEnd::kLost);
  fixture.m_steering.ClientLeft(send.m_request, fixture.m_now);
  fixture.m_steering.ServerChecked(
      send.m_instance, ServerReach::kRefusesConnections, fixture.m_now);
  cr_assert_eq(fixture.CrashCount(), 1);
}

// A server restarts under the same id while a write runs there. Its new entry
// shows that the old run has ended; no check is needed.
Test(CrashingRequest, ServerRestartsUnderItsId_CrashCounts_WithoutACheck) {
  CrashRecordFixture fixture;
  const auto put = [&](const std::string& server, milliseconds start) {
    fixture.m_steering.PutServer(
        {server, "s", {1, 80}, "d1", 2, false, {}, start}, fixture.m_now);
  };
  put("a", milliseconds(1000));
  put("b", milliseconds(1000));
  put(fixture.SendAgain("/write/x").m_instance, milliseconds(2000));
  cr_assert_eq(fixture.CrashCount(), 1);
  cr_assert_eq(fixture.Count<CheckServerReachable>(), 0);
}

// A server that is shutting down closes its connections at its planned end.
Test(CrashingRequest, LeavingServer_ClosesConnections_IsNoCrash) {
  CrashRecordFixture fixture;
  const SendToServer send = fixture.SendAgain("/write/x");
  fixture.PutServer(send.m_instance, send.m_instance == "a" ? "d1" : "d2",
                    true);
  fixture.End(send, AttemptEnd::kLost);
  cr_assert_eq(fixture.Count<CheckServerReachable>(), 0);
}

}  // namespace
}  // namespace sorrelplank
