/// @file server_pause_test.cc Backend servers that reject requests and ask for
/// a pause.

#include <criterion/criterion.h>

#include <memory>
#include <set>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Server "a" is the preferred one of the object.
struct PauseFixture : SteeringFixture {
  uint64_t m_object = 0;

  PauseFixture() { m_object = ObjectOf("a"); }

  void AskForPause(Duration pause) {
    Arrive("/read/x", m_object);
    EndWithNotice(*Last<SendToServer>(), AttemptEnd::kRejected,
                  {.m_pause = pause});
    if (Last<SendToServer>()->m_instance == "b") {
      End(*Last<SendToServer>(), AttemptEnd::kAnswered);
    }
  }

  void PauseBoth(Duration pause_of_a, Duration pause_of_b) {
    Arrive("/read/x", m_object);
    EndWithNotice(*Last<SendToServer>(), AttemptEnd::kRejected,
                  {.m_pause = pause_of_a});
    EndWithNotice(*Last<SendToServer>(), AttemptEnd::kRejected,
                  {.m_pause = pause_of_b});
  }
};

std::unique_ptr<PauseFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<PauseFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(ServerPause, .init = SetUp, .fini = TearDown);

// Guards against requests to a server during its pause.
Test(ServerPause, Paused_DuringThePause_NothingIsSent) {
  g_fixture->AskForPause(seconds(3));
  cr_assert_eq(g_fixture->SentTo("a", 140), 0);
}

// Guards against a server that never gets requests again.
Test(ServerPause, Paused_AfterThePause_ServerIsUsed) {
  g_fixture->AskForPause(seconds(3));
  g_fixture->Pass(seconds(3));
  cr_assert_gt(g_fixture->SentTo("a"), 0);
}

// Guards against a pause that is lost while the entry is absent.
Test(ServerPause, Paused_EntryExpiresAndReturns_StaysPaused) {
  g_fixture->AskForPause(seconds(3));
  g_fixture->m_steering.RemoveServer("a", g_fixture->m_now);
  g_fixture->Pass(seconds(1));
  g_fixture->PutServer("a", "d1");
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against requests that keep waiting for a paused server.
Test(ServerPause, RequestsWaiting_ServerPauses_AreDecidedAtOnce) {
  const SendToServer at_a = g_fixture->LetWritesWaitForA(g_fixture->m_object);
  cr_assert_gt(g_fixture->m_steering.WaitingCount(), 3);
  g_fixture->m_now += milliseconds(1900);
  g_fixture->EndWithNotice(at_a, AttemptEnd::kRejected,
                           {.m_pause = seconds(3)});
  // This close to their target latency they are refused instead of waiting for
  // another server.
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 0);
}

// Guards against a fallback that sends to paused servers, and against a
// Retry-After at which they are still paused.
Test(ServerPause, AllPaused_Request_IsRefusedUntilTheFirstPauseEnds) {
  g_fixture->PauseBoth(seconds(20), seconds(4));
  g_fixture->Pass(seconds(1));
  const size_t sends = g_fixture->Count<SendToServer>();
  g_fixture->Arrive("/write/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), sends);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
  const Duration retry = g_fixture->Last<RefuseRequest>()->m_retry_after;
  cr_assert_geq(ToMilliseconds(retry), 3000);
  cr_assert_lt(ToMilliseconds(retry), 4000);
}

// Guards against refusals until the next update of the region loads.
Test(ServerPause, AllOfTheRegionPaused_NextRequest_GoesToAnotherRegion) {
  g_fixture->PutServer("c", "d3");
  g_fixture->Pass(seconds(1));
  g_fixture->PauseBoth(seconds(3), seconds(3));
  const size_t refused = g_fixture->Count<RefuseRequest>();
  g_fixture->Arrive("/write/x");
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "c");
  cr_assert_eq(g_fixture->Count<RefuseRequest>(), refused);
}

// Guards against callers that all retry at the moment when a pause ends.
Test(ServerPause, AllPaused_ManyRequests_GetDifferentRetryAfter) {
  g_fixture->PauseBoth(seconds(4), seconds(4));
  std::set<Duration> times;
  for (int request = 0; request < 20; ++request) {
    g_fixture->Arrive("/write/x");
    times.insert(g_fixture->Last<RefuseRequest>()->m_retry_after);
  }
  cr_assert_gt(times.size(), 10);
  cr_assert_geq(ToMilliseconds(*times.begin()), 4000);
}

}  // namespace
}  // namespace sorrelplank
