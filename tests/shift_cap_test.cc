/// @file shift_cap_test.cc Caps on calls from callers of other places.

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

/// Makes a call from a caller whose home is n2 and answers it at once; true if
/// it was dispatched here.
bool CallFromElsewhere(NodeFixture& a, uint64_t request) {
  IncomingCall call = a.MakeCall("read", request);
  call.m_caller_ip = (10U << 24U) | (2U << 16U) | 7U;
  a.Feed(CallArrived{call});
  const auto* dispatch = a.Find<DispatchToBackend>();
  if (dispatch == nullptr) {
    a.Feed(CallerLeft{RequestId(request)});
    return false;
  }
  const AttemptId attempt = dispatch->m_attempt;
  a.Feed(AttemptEnded{attempt, AttemptOutcome::kAnswered, {}, {}});
  return true;
}

TestSuite(ShiftCap, .init = SetUp, .fini = TearDown);

Test(ShiftCap, CapReached_MoreCallsInTheSameSecond_AreNotTaken) {
  NodeFixture& a = *g_fixture;
  a.Run(seconds(2));
  int taken = 0;
  for (uint64_t request = 1; request <= 200; ++request) {
    taken += CallFromElsewhere(a, request) ? 1 : 0;
  }
  cr_assert_eq(taken, 50, "half of the place's 100/s is this server's");
}

Test(ShiftCap, CapReached_CallerAtHome_IsTaken) {
  NodeFixture& a = *g_fixture;
  a.Run(seconds(2));
  for (uint64_t request = 1; request <= 200; ++request) {
    CallFromElsewhere(a, request);
  }
  a.Call("read", 1000);
  cr_assert_not_null(a.Find<DispatchToBackend>());
}

// A server moves to another holder within milliseconds. The former holder has
// used up this second's share of the cap, which the new holder's window does
// not contain. Both together would take twice the share.
Test(ShiftCap, JustTakenOver_FormerHolderUsedTheShare_TakesNone) {
  NodeFixture& a = *g_fixture;
  a.Feed(SnapshotInstalled{ParseSmall(2, R"({"backend_servers": {
      "r-n1": {"leaving": true},
      "r2-n1": {"service": "read", "place": "n1", "ip": "127.0.3.1",
                "port": 1, "slots": 2}}})")});
  a.Run(milliseconds(50));
  a.Call("read", 1);
  const auto* dispatch = a.Find<DispatchToBackend>();
  cr_assert_not_null(dispatch, "held by now");
  const AttemptId attempt = dispatch->m_attempt;
  a.Feed(AttemptEnded{attempt, AttemptOutcome::kAnswered, {}, {}});
  cr_assert_not(CallFromElsewhere(a, 2));
  a.Run(seconds(2));
  cr_assert(CallFromElsewhere(a, 3));
}

// The configuration changes in the middle of a second. Calls that the link took
// earlier in that second still count.
Test(ShiftCap, LinkCapUsedUp_ConfigChanges_StaysUsedUp) {
  NodeFixture a;
  const char* link =
      R"({"links": {"ns": {"regions": ["north", "south"], "cap_rps": 40}}})";
  a.Feed(SnapshotInstalled{ParseSmall(2, link)});
  a.Run(seconds(2));
  auto call_from_south = [&](uint64_t request) {
    IncomingCall call = a.MakeCall("read", request);
    call.m_caller_ip = (10U << 24U) | (3U << 16U) | 7U;
    a.Feed(CallArrived{call});
    const auto* dispatch = a.Find<DispatchToBackend>();
    if (dispatch == nullptr) {
      a.Feed(CallerLeft{RequestId(request)});
      return 0;
    }
    const AttemptId attempt = dispatch->m_attempt;
    a.Feed(AttemptEnded{attempt, AttemptOutcome::kAnswered, {}, {}});
    return 1;
  };
  int taken = 0;
  for (uint64_t request = 1; request <= 50; ++request) {
    taken += call_from_south(request);
  }
  a.Feed(SnapshotInstalled{ParseSmall(3, link)});
  for (uint64_t request = 100; request <= 150; ++request) {
    taken += call_from_south(request);
  }
  cr_assert_eq(taken, 10, "a quarter of the link's 40/s is this server's");
}

// The holder is paused; its sibling holds the server meanwhile and uses the
// share. When the first holder regains the server, its own window is outdated
// and empty.
Test(ShiftCap, HeldAgainAfterPause_SiblingUsedTheShare_TakesNone) {
  NodeFixture& a = *g_fixture;
  a.Run(seconds(2));
  a.Pause(seconds(6));
  a.Run(milliseconds(10));
  while (a.m_node.IsFenced()) {
    a.Run(milliseconds(10));
  }
  cr_assert_not(CallFromElsewhere(a, 1));
  a.Run(seconds(2));
  cr_assert(CallFromElsewhere(a, 2));
}

}  // namespace
}  // namespace sorrelplank
