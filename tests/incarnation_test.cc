/// @file incarnation_test.cc Two processes with the same VM name.

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

/// Delivers a relayed record of another process with our name.
void ReceiveDuplicateRecord(uint64_t incarnation, uint64_t sequence) {
  VmRecord record = g_fixture->MakeRecord("a", "n1", sequence);
  record.m_incarnation = Incarnation(incarnation);
  g_fixture->Feed(GossipArrived{{record}});
}

TestSuite(Incarnation, .init = SetUp, .fini = TearDown);

// A VM is replaced under its name, and the clock of the new process is minutes
// behind, so its incarnation is lower. All others discard its heartbeats as
// old, and the last record of the dead process, which is still relayed, looks
// like that of a successor. The new process must not stop dispatching because
// of a dead one.
Test(Incarnation, PredecessorClockAhead_SilentSince_IncarnationIsRaised) {
  ReceiveDuplicateRecord(900, 7);
  g_fixture->Run(kTakeoverTimeout + milliseconds(100));
  ReceiveDuplicateRecord(900, 7);
  g_fixture->Call("read", 1);
  cr_assert_not_null(g_fixture->Find<DispatchToBackend>());
  const VmRecord own =
      g_fixture->m_node.RecordsFor(HashName("n1"), false, g_fixture->m_now)
          .front();
  cr_assert_eq(own.m_incarnation.Get(), 901);
}

// This VM was declared dead and replaced, and learns of it after a pause: the
// heartbeat of the other process advances. Our servers may be held by it.
Test(Incarnation, SuccessorIsAlive_ItsHeartbeatAdvances_StopsDispatching) {
  ReceiveDuplicateRecord(900, 7);
  g_fixture->Run(milliseconds(300));
  ReceiveDuplicateRecord(900, 8);
  g_fixture->Call("read", 1);
  cr_assert_null(g_fixture->Find<DispatchToBackend>());
}

// A VM that knows the dead predecessor reports it to the new process, which
// cannot otherwise find out why its heartbeats are discarded.
Test(Incarnation, LowerIncarnationThanKnown_Gossips_ReplyHasKnownRecord) {
  NodeFixture& a = *g_fixture;
  VmRecord predecessor = a.MakeRecord("b", "n1", 7);
  predecessor.m_incarnation = Incarnation(900);
  a.Feed(GossipArrived{{predecessor}});
  a.Run(seconds(3));
  const VmRecord successor = a.MakeRecord("b", "n1", 1);
  const auto answer = a.m_node.AnswerGossip(successor, false, a.m_now);
  cr_assert_eq(answer.back().m_incarnation.Get(), 900);
}

Test(Incarnation, PredecessorWithLowerIncarnation_StillRelayed_IsIgnored) {
  ReceiveDuplicateRecord(2, 7);
  ReceiveDuplicateRecord(2, 8);
  g_fixture->Call("read", 1);
  cr_assert_not_null(g_fixture->Find<DispatchToBackend>());
}

}  // namespace
}  // namespace sorrelplank
