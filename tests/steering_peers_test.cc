/// @file steering_peers_test.cc Requests that a VM without any server in reach
/// passes on to other entry VMs.

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>

#include "tests/reach_fixture.h"

namespace sorrelplank {
namespace {

std::unique_ptr<ReachFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ReachFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringPeers, .init = SetUp, .fini = TearDown);

// Callers of a VM that reaches no server were refused although other VMs could
// have served them.
Test(SteeringPeers, NoServerInReach_RequestArrives_IsPassedOnAndAnswered) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  cr_assert_str_eq(g_fixture->Last<SendToPeer>()->m_vm.c_str(), "vm-3");
  g_fixture->EndAtPeer({.m_end = PeerEnd::kAnswered});
  cr_assert_eq(g_fixture->Count<ForwardServerAnswer>(), 1);
  cr_assert_eq(g_fixture->m_steering.Running(), 0);
}

Test(SteeringPeers, ServersGetLost_RequestsWait_ArePassedOn) {
  const uint64_t object = g_fixture->ObjectOf("a");
  g_fixture->LetWritesWaitForA(object);
  cr_assert_gt(g_fixture->m_steering.WaitingCount(), 0);
  const std::vector<SteerAction> actions = g_fixture->m_actions;
  for (const SteerAction& action : actions) {
    if (const auto* send = std::get_if<SendToServer>(&action)) {
      g_fixture->End(*send, AttemptEnd::kNotSent);
    }
  }
  g_fixture->Pass(milliseconds(20));
  const size_t waiting = g_fixture->m_steering.WaitingCount();
  g_fixture->EndProbes(false);
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 0);
  cr_assert_geq(g_fixture->Count<SendToPeer>(), waiting);
}

Test(SteeringPeers, ServersAreBack_RequestArrives_GoesToAServer) {
  g_fixture->LoseServers();
  g_fixture->Pass(seconds(1));
  g_fixture->EndProbes(true);
  const size_t before = g_fixture->Count<SendToServer>();
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), before + 1);
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 0);
}

// All VMs of a failure domain lose the servers: their requests must not go to
// one VM only.
Test(SteeringPeers, ManyRequests_InFlight_SpreadOverTheOtherVms) {
  g_fixture->LoseServers();
  std::set<std::string> vms;
  for (uint64_t request = 0; request < 30; ++request) {
    g_fixture->Arrive("/read/x", request);
    vms.insert(g_fixture->Last<SendToPeer>()->m_vm);
  }
  cr_assert_eq(vms.size(), 4);
  cr_assert(!vms.contains("vm-1"));
}

Test(SteeringPeers, PeersHaveNoServer_AllTried_IsRefusedAsNotRun) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  std::set<std::string> vms;
  while (g_fixture->m_steering.Running() > 0) {
    vms.insert(g_fixture->Last<SendToPeer>()->m_vm);
    g_fixture->EndAtPeer(
        {.m_end = PeerEnd::kAnswered, .m_refusal = SteerRefusal::kNoServer});
  }
  cr_assert_eq(vms.size(), 3);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
}

Test(SteeringPeers, VmWasUnavailable_NextRequest_GoesElsewhere) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  g_fixture->EndAtPeer({.m_end = PeerEnd::kNotSent});
  g_fixture->EndAtPeer({.m_end = PeerEnd::kAnswered});
  g_fixture->Arrive("/write/y");
  cr_assert_str_neq(g_fixture->Last<SendToPeer>()->m_vm.c_str(), "vm-3");
}

// A write that was passed on and lost may have run: passing it on again could
// run it twice, and a refusal would promise that it never runs.
Test(SteeringPeers, WriteIsLostAtPeer_IsNotPassedOnAgain_MayHaveRun) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  g_fixture->EndAtPeer({.m_end = PeerEnd::kLost});
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kLost);
}

Test(SteeringPeers, ReadIsLostAtPeer_SecondSend_HasOneServerLeft) {
  // Until the VM has its whole share of the retry budget.
  g_fixture->Pass(seconds(10));
  g_fixture->LoseServers();
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->Last<SendToPeer>()->m_terms.m_max_sends, 2);
  g_fixture->EndAtPeer({.m_end = PeerEnd::kLost});
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 2);
  cr_assert_eq(g_fixture->Last<SendToPeer>()->m_terms.m_max_sends, 1);
}

// Servers rejected the request at the other VM. Passing it on once more is a
// retry, which the budget must allow: it was free, up to three times.
Test(SteeringPeers, PeerSpentItsRetries_NextPassOn_IsChargedToTheBudget) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/read/x");
  g_fixture->EndAtPeer(
      {.m_end = PeerEnd::kAnswered, .m_refusal = SteerRefusal::kRetriesSpent});
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
}

// The other side: a server rejected the request here, and there is no other
// one. "No server" would let the VM that passed it on send it again for free.
Test(SteeringPeers, PassedOnRequestRejected_NoServerLeft_SaysRetriesSpent) {
  // Requests of its own give the VM a retry budget.
  g_fixture->AnswerForOneSecond("/read/x");
  const size_t before = g_fixture->Count<SendToServer>();
  for (const char* server : {"b", "c", "d"}) {
    g_fixture->m_steering.RemoveServer(server, g_fixture->m_now);
  }
  g_fixture->ArriveFromPeer("/read/x",
                            {.m_table_version = 1, .m_max_sends = 2});
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->Count<SendToServer>(), before + 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kRetriesSpent);
}

Test(SteeringPeers, PeerIsOverloaded_ItsRefusalIsForwarded) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  g_fixture->EndAtPeer(
      {.m_end = PeerEnd::kAnswered, .m_refusal = SteerRefusal::kOverloaded});
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 1);
  cr_assert_eq(g_fixture->Count<ForwardServerAnswer>(), 1);
}

Test(SteeringPeers, ClientLeaves_WhilePassedOn_SendIsCancelled) {
  g_fixture->LoseServers();
  const RequestId id = g_fixture->Arrive("/write/x");
  g_fixture->m_steering.ClientLeft(id, g_fixture->m_now);
  cr_assert_eq(g_fixture->Last<CancelSend>()->m_attempt,
               g_fixture->Last<SendToPeer>()->m_attempt);
}

Test(SteeringPeers, DeadlinePasses_WhilePassedOn_MayHaveRun) {
  g_fixture->LoseServers();
  g_fixture->Arrive("/write/x");
  g_fixture->Pass(seconds(3));
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTimedOut);
}

// The body of a request must not leave the regions that its route allows.
Test(SteeringPeers, RouteHasHomes_OnlyVmsOfTheseRegionsGetIt) {
  RouteRule route = MakeRoute("/read/", true);
  route.m_home_regions = {"r2"};
  g_fixture->Install(2, {route});
  g_fixture->LoseServers();
  for (uint64_t request = 0; request < 20; ++request) {
    g_fixture->Arrive("/read/x", request);
    const std::string vm = g_fixture->Last<SendToPeer>()->m_vm;
    cr_assert(vm == "vm-4" || vm == "vm-5");
  }
}

// Two VMs without servers must not pass a request to and fro.
Test(SteeringPeers, PassedOnToVmWithoutServers_IsRefusedAtOnce) {
  g_fixture->LoseServers();
  g_fixture->ArriveFromPeer("/read/x",
                            {.m_table_version = 1, .m_max_sends = 2});
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
  cr_assert_eq(g_fixture->Count<SendToPeer>(), 0);
}

// A VM that is behind must not handle by an older configuration what arrived at
// one with the newer.
Test(SteeringPeers, PassedOnByNewerTable_IsRefusedAsNotRun) {
  g_fixture->ArriveFromPeer("/none/x",
                            {.m_table_version = 2, .m_max_sends = 2});
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTableMayBeOld);
}

// The store is away for all VMs: refusing what a VM passes on that knows no
// more would leave its callers without any server.
Test(SteeringPeers, StoreIsAwayForBothVms_PassedOn_IsSent) {
  g_fixture->m_steering.SetDataStale(true);
  const size_t sends = g_fixture->Count<SendToServer>();
  g_fixture->ArriveFromPeer(
      "/read/x",
      {.m_table_version = 1, .m_is_data_stale = true, .m_max_sends = 2});
  cr_assert_eq(g_fixture->Count<SendToServer>(), sends + 1);
  g_fixture->ArriveFromPeer("/read/x",
                            {.m_table_version = 1, .m_max_sends = 2});
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTableMayBeOld);
}

Test(SteeringPeers, PassedOnWithOneServerLeft_Rejected_IsNotRetried) {
  g_fixture->ArriveFromPeer("/read/x",
                            {.m_table_version = 1, .m_max_sends = 1});
  const size_t sends = g_fixture->Count<SendToServer>();
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->Count<SendToServer>(), sends);
}

// The VM that received the request from its caller has charged its
// organisation.
Test(SteeringPeers, PassedOnForLimitedOrganisation_TakesNoToken) {
  Organisation organisation = MakeOrganisation("acme", "key");
  organisation.m_rate_per_second = 1;
  organisation.m_burst = 1;
  g_fixture->Install(2, {MakeRoute("/read/", true)}, {{organisation}});
  for (int request = 0; request < 5; ++request) {
    RequestFacts facts{RequestId(g_fixture->m_next++), "h", "/read/x", 1,
                       seconds(5)};
    facts.m_key = "key";
    facts.m_passed_on = PassedOnTerms{.m_table_version = 2, .m_max_sends = 1};
    const size_t sends = g_fixture->Count<SendToServer>();
    g_fixture->m_steering.Arrived(std::move(facts), g_fixture->m_now);
    cr_assert_eq(g_fixture->Count<SendToServer>(), sends + 1);
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  }
}

}  // namespace
}  // namespace sorrelplank
