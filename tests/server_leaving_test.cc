/// @file server_leaving_test.cc Backend servers whose answers say that they
/// leave.

#include <criterion/criterion.h>

#include <memory>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Server "a" has said so in an answer; the store has told nothing.
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

// Guards against sends to a leaving server while the store cannot tell of it.
Test(ServerLeaving, AnswerSaysSo_StoreIsAway_NothingMoreIsSent) {
  g_fixture->SayLeaving();
  g_fixture->m_steering.SetDataStale(true);
  cr_assert_eq(g_fixture->SentTo("a"), 0);
  cr_assert_gt(g_fixture->SentTo("b"), 0);
}

// Guards against passing over what a rejection or an error says.
Test(ServerLeaving, FailureSaysSo_Requests_GoElsewhere) {
  g_fixture->SayLeaving(AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against an entry written before the answer that takes it back.
Test(ServerLeaving, AnswerSaysSo_EntryStillReady_StaysOut) {
  g_fixture->SayLeaving();
  g_fixture->PutServer("a", "d1");
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against a word that is forgotten while the entry is away.
Test(ServerLeaving, AnswerSaysSo_EntryLapsesAndReturns_StaysOut) {
  g_fixture->SayLeaving();
  g_fixture->m_steering.RemoveServer("a", g_fixture->m_now);
  g_fixture->Pass(seconds(2));
  g_fixture->PutServer("a", "d1");
  cr_assert_eq(g_fixture->SentTo("a"), 0);
}

// Guards against giving up the run that follows under the same id.
Test(ServerLeaving, AnswerSaysSo_StartsAgainUnderItsId_IsUsed) {
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

// Guards against requests that wait on for a server that leaves.
Test(ServerLeaving, RequestsWaitForIt_AnswerSaysSo_AreSettledAtOnce) {
  const SendToServer at_a = g_fixture->LetWritesWaitForA(g_fixture->m_object);
  cr_assert_gt(g_fixture->m_steering.WaitingCount(), 3);
  g_fixture->m_now += milliseconds(1900);
  const size_t refused = g_fixture->Count<RefuseRequest>();
  g_fixture->EndWithNotice(at_a, AttemptEnd::kAnswered, {.m_is_leaving = true});
  cr_assert_gt(g_fixture->Count<RefuseRequest>(), refused);
  cr_assert_str_neq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "a",
                    "%s", g_fixture->Last<SendToServer>()->m_instance.c_str());
}

// Guards against a last resort that goes to servers that leave.
Test(ServerLeaving, AllSaySo_Request_IsRefusedAtOnceAsNotRun) {
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
