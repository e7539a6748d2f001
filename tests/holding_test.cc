/// @file holding_test.cc Holding of backend servers across pauses and failures.

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

/// Makes sibling "b" known, then pauses and resumes this entry VM.
void DiscoverSiblingAndPause(NodeFixture& a) {
  a.Feed(GossipArrived{{a.MakeRecord("b", "n1", 1)}});
  a.Run(milliseconds(600));
  a.Pause(seconds(6));
  a.Run(milliseconds(20));
}

/// Returns a record of "b" that has heard our latest one.
VmRecord MakeRecordThatHeard(NodeFixture& a) {
  const VmRecord own =
      a.m_node.RecordsFor(HashName("n1"), false, a.m_now).front();
  VmRecord record = a.MakeRecord("b", "n1", 30);
  record.m_heard = {{"a", own.m_incarnation, own.m_sequence, {}}};
  return record;
}

TestSuite(Holding, .init = SetUp, .fini = TearDown);

Test(Holding, FreshNode_NoOtherClaim_DispatchesAfterTakeoverWait) {
  cr_assert_not_null(
      std::get_if<RefuseCall>(&NodeFixture().Call("nothing", 1).back()));
  g_fixture->Call("read", 1);
  cr_assert_not_null(g_fixture->Find<DispatchToBackend>());
}

// A holder is paused for longer than the takeover timeout, and its sibling
// takes over its servers. After the pause the holder first reads heartbeats
// that the sibling sent before the takeover. If it trusted them, it would
// dispatch to servers that it no longer holds, beyond their slots. Callers only
// see a longer wait.
Test(Holding, PausedHolder_OldHeartbeatsInSocket_StaysFenced) {
  NodeFixture& a = *g_fixture;
  a.Feed(GossipArrived{{a.MakeRecord("b", "n1", 1)}});
  a.Run(milliseconds(600));
  a.Pause(seconds(6));
  // Sent before the takeover: it lists no servers and has not heard us since.
  a.Feed(GossipArrived{{a.MakeRecord("b", "n1", 2)}});
  a.Call("read", 1);
  cr_assert_null(a.Find<DispatchToBackend>());
  cr_assert(a.m_node.IsFenced());
}

// The same pause, but the sibling's heartbeat shows that it has heard us since:
// it holds exactly what it lists, and the rest is still ours.
Test(Holding, PausedHolder_SiblingHeardUsSince_ResumesDispatch) {
  NodeFixture& a = *g_fixture;
  DiscoverSiblingAndPause(a);
  VmRecord record = MakeRecordThatHeard(a);
  a.Feed(GossipArrived{{record}});
  cr_assert_not(a.m_node.IsFenced());
}

// A holder is paused before it knows any sibling; a new sibling starts
// meanwhile, waits for the takeover timeout and takes over the servers. That
// the holder knows no sibling does not prove that there is none.
Test(Holding, PausedHolder_KnowsNoSibling_StaysFencedForTakeoverTimeout) {
  NodeFixture& a = *g_fixture;
  a.Pause(seconds(6));
  a.Call("read", 1);
  cr_assert_null(a.Find<DispatchToBackend>());
  a.Run(kTakeoverTimeout + milliseconds(50));
  a.Call("read", 2);
  cr_assert_not_null(a.Find<DispatchToBackend>());
}

// With three siblings: the one that heard us lists another that is unknown here
// and may hold our servers by now.
Test(Holding, PausedHolder_SiblingListsUnknownSibling_StaysFenced) {
  NodeFixture& a = *g_fixture;
  DiscoverSiblingAndPause(a);
  VmRecord record = MakeRecordThatHeard(a);
  record.m_heard.push_back({"c", Incarnation(9), 1, {}});
  a.Feed(GossipArrived{{record}});
  cr_assert(a.m_node.IsFenced());
}

// Two siblings consider each other dead for a moment while a server becomes
// free, and each assigns the server to itself. If both dispatched at once, the
// server would get twice its slots.
Test(Holding, TwoSiblingsClaimAtOnce_BothList_NeitherDispatches) {
  NodeFixture a;
  a.Feed(SnapshotInstalled{ParseSmall(2, R"({"backend_servers": {
      "r2-n1": {"service": "read", "place": "n1", "ip": "127.0.3.1",
                "port": 1, "slots": 2}}})")});
  VmRecord record = a.MakeRecord("b", "n1", 1);
  record.m_leaving = true;  // Not assigned any server, but still claims one.
  record.m_holdings = {HashName("r2-n1")};
  a.Feed(GossipArrived{{record}});
  for (uint64_t sequence = 2; sequence < 30; ++sequence) {
    a.Run(milliseconds(300));
    record.m_sequence = sequence;
    a.Feed(GossipArrived{{record}});
  }
  for (const Node::HeldStatus& held : a.m_node.HeldBackends(a.m_now)) {
    cr_assert(held.m_backend != HashName("r2-n1") || !held.m_dispatchable);
  }
}

// The same, but the other VM drops its claim once it has heard ours.
Test(Holding, OtherClaimIsGivenUp_OursWasHeard_Dispatches) {
  NodeFixture& a = *g_fixture;
  a.Feed(SnapshotInstalled{ParseSmall(2, R"({"backend_servers": {
      "r2-n1": {"service": "read", "place": "n1", "ip": "127.0.3.1",
                "port": 1, "slots": 2}}})")});
  VmRecord record = a.MakeRecord("b", "n1", 1);
  record.m_leaving = true;
  record.m_holdings = {HashName("r2-n1")};
  a.Feed(GossipArrived{{record}});
  a.Run(milliseconds(100));
  const VmRecord own =
      a.m_node.RecordsFor(HashName("n1"), false, a.m_now).front();
  record.m_sequence = 2;
  record.m_holdings.clear();
  record.m_heard = {{"a", own.m_incarnation, own.m_sequence, {}}};
  a.Feed(GossipArrived{{record}});
  bool dispatches = false;
  for (const Node::HeldStatus& held : a.m_node.HeldBackends(a.m_now)) {
    dispatches |= held.m_backend == HashName("r2-n1") && held.m_dispatchable;
  }
  cr_assert(dispatches);
}

// A configuration with a leaving server is accepted while a holder is paused.
// Its sibling reports the newer version in the record that would let the holder
// resume. If the holder resumed with the old version, it would dispatch to a
// server that all others released seconds ago.
Test(Holding, PausedHolder_SiblingRunsNewerConfig_WaitsForIt) {
  NodeFixture& a = *g_fixture;
  DiscoverSiblingAndPause(a);
  VmRecord record = MakeRecordThatHeard(a);
  record.m_config_version = ConfigVersion(2);
  a.Feed(GossipArrived{{record}});
  cr_assert(a.m_node.IsFenced());
  a.Feed(SnapshotInstalled{ParseSmall(2, "")});
  cr_assert_not(a.m_node.IsFenced());
}

}  // namespace
}  // namespace sorrelplank
