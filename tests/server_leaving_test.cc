/// @file server_leaving_test.cc Backend servers whose responses announce that
/// they are leaving.

#include <criterion/criterion.h>

#include <memory>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Server "a" announces it in a response; the store does not know yet.
struct LeavingFixture : SteeringFixture {
  uint64_t m_object = 0;

  LeavingFixture() { m_object = ObjectOf("a"); }

  void SayLeaving(AttemptEnd end = AttemptEnd::kAnswered) {
    Arrive("/read/x", m_object);
    EndWithNotice(*Last<SendToServer>(), end, {.m_is_leaving = true});
  }
};

std::unique_ptr<LeavingFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<LeavingFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(ServerLeaving, .init = SetUp, .fini = TearDown);

// Guards against sends to a leaving server while the store is unavailable.
Test(ServerLeaving, Announced_StoreUnavailable_NothingMoreIsSent) {
  g_fixture->SayLeaving();
  g_fixture->m_steering.SetDataStale(true);
  cr_assert_eq(g_fixture->SentTo("a"), 0);
  cr_assert_gt(g_fixture->SentTo("b"), 0);
}

// Guards against ignoring the notice in a rejection or an error.
Test(ServerLeaving, AnnouncedInFailure_Requests_GoElsewhere) {
  g_fixture->SayLeaving(AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against an entry, written before the response, that revokes the
// notice.
Test(ServerLeaving, Announced_EntryStillReady_StaysUnused) {
  g_fixture->SayLeaving();
  g_fixture->PutServer("a", "d1");
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against a notice that is lost while the entry is absent.
Test(ServerLeaving, Announced_EntryExpiresAndReturns_StaysUnused) {
  g_fixture->SayLeaving();
  g_fixture->m_steering.RemoveServer("a", g_fixture->m_now);
  g_fixture->Pass(seconds(2));
  g_fixture->PutServer("a", "d1");
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against applying the notice to the next run under the same id.
Test(ServerLeaving, Announced_RestartsUnderItsId_IsUsed) {
  const auto put = [](milliseconds start) {
    g_fixture->m_steering.PutServer(
        {"a", "s", {1, 80}, "d1", 2, false, {}, start}, g_fixture->m_now);
  };
  put(milliseconds(1000));
  g_fixture->SayLeaving();
  cr_assert_eq(g_fixture->SentTo("a"), 0);
  put(milliseconds(2000));
  cr_assert_gt(g_fixture->SentTo("a"), 0);
}

// Guards against requests that keep waiting for a leaving server.
Test(ServerLeaving, RequestsWaiting_ServerAnnounces_AreDecidedAtOnce) {
  const SendToServer at_a = g_fixture->LetWritesWaitForA(g_fixture->m_object);
  cr_assert_gt(g_fixture->m_steering.WaitingCount(), 3);
  g_fixture->m_now += milliseconds(1900);
  const size_t refused = g_fixture->Count<RefuseRequest>();
  g_fixture->EndWithNotice(at_a, AttemptEnd::kAnswered, {.m_is_leaving = true});
  cr_assert_gt(g_fixture->Count<RefuseRequest>(), refused);
  cr_assert_str_neq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "a",
                    "%s", g_fixture->Last<SendToServer>()->m_instance.c_str());
}

// Guards against a fallback that sends to leaving servers.
Test(ServerLeaving, AllLeaving_Request_IsRefusedAtOnceAsNotRun) {
  g_fixture->SayLeaving();
  g_fixture->Arrive("/read/x", g_fixture->m_object);
  g_fixture->EndWithNotice(*g_fixture->Last<SendToServer>(),
                           AttemptEnd::kAnswered, {.m_is_leaving = true});
  const size_t sends = g_fixture->Count<SendToServer>();
  g_fixture->Arrive("/write/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), sends);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
}

}  // namespace
}  // namespace sorrelplank
