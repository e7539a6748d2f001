/// @file stop_test.cc Planned stop of an entry VM.

#include <criterion/criterion.h>

#include <memory>

#include "tests/node_fixture.h"

namespace sorrelplank {
namespace {

std::unique_ptr<NodeFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<NodeFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(Stop, .init = SetUp, .fini = TearDown);

Test(Stop, AskedToStop_LookupsMayStillNameUs_ServesForTheTtl) {
  NodeFixture& a = *g_fixture;
  a.Feed(StopRequested{});
  a.Run(milliseconds(900));
  a.Call("read", 1);
  cr_assert_not_null(a.Find<DispatchToBackend>());
  cr_assert_eq(a.CountInTicks<ExitProcess>(), 0);
}

Test(Stop, AskedToStop_RequestInFlight_ExitsOnlyAfterIt) {
  NodeFixture& a = *g_fixture;
  a.Feed(StopRequested{});
  a.Run(milliseconds(3000));
  a.Call("read", 1);
  const auto* dispatch = a.Find<DispatchToBackend>();
  cr_assert_not_null(dispatch);
  const AttemptId attempt = dispatch->m_attempt;
  a.Run(milliseconds(500));
  cr_assert_eq(a.CountInTicks<ExitProcess>(), 0);
  a.Feed(AttemptEnded{attempt, AttemptOutcome::kAnswered, {}, {}});
  cr_assert_not_null(a.Find<ForwardAnswer>());
  a.Run(seconds(1));
  cr_assert_eq(a.CountInTicks<ExitProcess>(), 1);
}

Test(Stop, AskedToStop_OwnRecord_SaysLeaving) {
  g_fixture->Feed(StopRequested{});
  cr_assert(
      g_fixture->m_node.RecordsFor(HashName("n1"), false, g_fixture->m_now)
          .front()
          .m_leaving);
}

// The process is paused while it is stopping, until after the time at which it
// would have exited. Requests that arrived meanwhile wait in its sockets, and
// its first event is a timer tick. If it exited then, it would cut those
// requests off, and their callers could not tell whether they ran.
Test(Stop, PausedWhileStopping_RequestsWaitInSockets_DoesNotExitYet) {
  NodeFixture& a = *g_fixture;
  a.Feed(StopRequested{});
  a.Run(milliseconds(100));
  a.Pause(seconds(8));
  a.Feed(Tick{});
  cr_assert_null(a.Find<ExitProcess>());
}

}  // namespace
}  // namespace sorrelplank
