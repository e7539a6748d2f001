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
  g_fixture->m_steering.SetCutOff(true);
  cr_assert_eq(g_fixture->SentTo("a"), 0);
  cr_assert_gt(g_fixture->SentTo("b"), 0);
}

}  // namespace
}  // namespace sorrelplank
