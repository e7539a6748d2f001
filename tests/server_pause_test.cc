/// @file server_pause_test.cc Backend servers that turn requests away and ask
/// for a pause.

#include <criterion/criterion.h>

#include <memory>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Server "a" is the first of the object.
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
};

std::unique_ptr<PauseFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<PauseFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(ServerPause, .init = SetUp, .fini = TearDown);

// Guards against requests to a server for the time for which it wants none.
Test(ServerPause, AskedFor_DuringIt_NothingIsSent) {
  g_fixture->AskForPause(seconds(3));
  cr_assert_eq(g_fixture->SentTo("a", 140), 0);
}

}  // namespace
}  // namespace sorrelplank
