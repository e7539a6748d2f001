/// @file reach_monitor_test.cc Detecting that a VM reaches no backend server.

#include "steer/reach_monitor.h"

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

TestSuite(ReachMonitor, .init = SetUp, .fini = TearDown);

Test(ReachMonitor, SendsAndProbesFail_NoServerIsWithinReach) {
  g_fixture->LoseServers();
  cr_assert(!g_fixture->m_steering.ReachesServers());
  cr_assert_str_eq(g_fixture->Last<StateChanged>()->m_event,
                   "servers_out_of_reach");
}

Test(ReachMonitor, SendsFail_OneProbeReaches_ServersAreWithinReach) {
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->Pass(milliseconds(20));
  g_fixture->m_steering.ReachProbed(true, g_fixture->m_now);
  for (int probe = 1; probe < 4; ++probe) {
    g_fixture->m_steering.ReachProbed(false, g_fixture->m_now);
  }
  cr_assert(g_fixture->m_steering.ReachesServers());
}

// New connections are refused while open ones live on: their responses must not
// count as reach.
Test(ReachMonitor, OnlyOpenConnectionsRespond_NoServerIsWithinReach) {
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->SendAndEnd(AttemptEnd::kAnswered, false);
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->SendAndEnd(AttemptEnd::kAnswered, false);
  g_fixture->Pass(milliseconds(20));
  g_fixture->EndProbes(false);
  cr_assert(!g_fixture->m_steering.ReachesServers());
}

Test(ReachMonitor, NoServerIsWithinReach_ProbeReaches_ServersAreBack) {
  g_fixture->LoseServers();
  g_fixture->Pass(seconds(1));
  cr_assert_eq(g_fixture->EndProbes(true), 1);
  cr_assert(g_fixture->m_steering.ReachesServers());
}

Test(ReachMonitor, FirstRound_ProbesAreInDifferentFailureDomains) {
  g_fixture->PutServer("e", "d1");
  g_fixture->PutServer("f", "d1");
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->SendAndEnd(AttemptEnd::kNotSent, true);
  g_fixture->Pass(milliseconds(20));
  std::set<std::string> servers;
  for (const SteerAction& action : g_fixture->m_actions) {
    if (const auto* probe = std::get_if<ProbeServerReach>(&action)) {
      servers.insert(probe->m_instance);
    }
  }
  cr_assert_eq(servers.size(), 4);
  cr_assert(servers.contains("b"));
  cr_assert(servers.contains("c") || servers.contains("d"));
}

// A VM that loses its paths to all servers sees requests get lost and then each
// server refuse connections. Recorded as crashes, these would hold back
// innocent requests at all VMs.
Test(ReachMonitor, AllServersRefuse_RequestsGotLost_NoCrashIsRecorded) {
  for (uint64_t object = 0; object < 6; ++object) {
    g_fixture->Arrive("/write/x", object);
  }
  const std::vector<SteerAction> actions = g_fixture->m_actions;
  for (const SteerAction& action : actions) {
    if (const auto* send = std::get_if<SendToServer>(&action)) {
      g_fixture->End(*send, AttemptEnd::kLost);
    }
  }
  for (const char* server : {"a", "b", "c", "d"}) {
    g_fixture->m_steering.ServerChecked(
        server, ServerReach::kRefusesConnections, g_fixture->m_now);
  }
  g_fixture->Pass(milliseconds(20));
  g_fixture->EndProbes(false);
  g_fixture->Pass(milliseconds(100));
  cr_assert_eq(g_fixture->Count<RequestSuspected>(), 0);
}

Test(ReachMonitor, TwoServersRefuse_ProbeReachesAnother_CrashesAreRecorded) {
  std::set<std::string> refusing;
  for (uint64_t object = 0; refusing.size() < 2; ++object) {
    g_fixture->Arrive("/write/x", object);
    const SendToServer send = *g_fixture->Last<SendToServer>();
    g_fixture->End(send, AttemptEnd::kLost);
    refusing.insert(send.m_instance);
  }
  for (const std::string& server : refusing) {
    g_fixture->m_steering.ServerChecked(
        server, ServerReach::kRefusesConnections, g_fixture->m_now);
  }
  g_fixture->Pass(milliseconds(20));
  g_fixture->EndProbes(true);
  g_fixture->Pass(milliseconds(20));
  cr_assert_eq(g_fixture->Count<RequestSuspected>(), 2);
}

Test(ReachMonitor, OneServerFails_NothingIsProbed) {
  for (int request = 0; request < 5; ++request) {
    g_fixture->m_steering.Arrived(
        {RequestId(1000 + request), "h", "/read/x", 1, seconds(5)},
        g_fixture->m_now);
    const SendToServer send = *g_fixture->Last<SendToServer>();
    AttemptReport report;
    report.m_end =
        send.m_instance == "a" ? AttemptEnd::kNotSent : AttemptEnd::kAnswered;
    g_fixture->m_steering.Ended(send.m_request, send.m_attempt, report,
                                g_fixture->m_now);
    g_fixture->Pass(milliseconds(100));
  }
  cr_assert_eq(g_fixture->Count<ProbeServerReach>(), 0);
}

}  // namespace
}  // namespace sorrelplank
