/// @file steering_unsent_test.cc Sends that do not reach a backend server.

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

std::unique_ptr<SteeringFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<SteeringFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringUnsent, .init = SetUp, .fini = TearDown);

// All servers of a failure domain lost power. Requests for them get their
// connections refused and go to servers that are up. Sends that reach no server
// are not charged to the retry budget, so nearly all callers get responses
// although far more sends fail than the budget allows.
Test(SteeringUnsent, Domain_RefusesConnections_RequestsAreServedElsewhere) {
  for (int server = 0; server < 40; ++server) {
    g_fixture->PutServer("down" + std::to_string(server), "d1");
  }
  const size_t requests = 200;
  for (uint64_t request = 0; request < requests; ++request) {
    g_fixture->Arrive("/write/x", request);
    for (int refused = 0; refused < 3; ++refused) {
      const SendToServer send = *g_fixture->Last<SendToServer>();
      if (send.m_instance.starts_with("down")) {
        g_fixture->End(send, AttemptEnd::kNotSent);
      }
    }
    if (g_fixture->m_steering.Running() > 0) {
      g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
    }
    g_fixture->Pass(milliseconds(20));
  }
  cr_assert_geq(g_fixture->Count<ForwardServerAnswer>(), requests * 19 / 20);
}

// The first server refuses the connection, and the second one, the first to
// receive the request, rejects it. The first one does not count towards the two
// servers that the route allows, so one more is allowed.
Test(SteeringUnsent, Unsent_ThenRejected_GoesToAThirdServer) {
  g_fixture->PutServer("c", "d1");
  g_fixture->Arrive("/write/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kNotSent);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->Count<SendToServer>(), 3);
}

// A refused connection means that nothing listens there. The server must be
// ejected after the first one; trying it with every request would add a round
// trip to each.
Test(SteeringUnsent, Server_RefusedOnce_IsEjectedAtOnce) {
  g_fixture->Arrive("/read/x", 5);
  const std::string first = g_fixture->Last<SendToServer>()->m_instance;
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kNotSent);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  g_fixture->Arrive("/read/y", 5);
  cr_assert_str_neq(g_fixture->Last<SendToServer>()->m_instance.c_str(),
                    first.c_str());
}

// Every server refuses connections. The retries must end, and the caller is
// told at once that the request did not run.
Test(SteeringUnsent, AllServers_RefuseConnections_IsRefusedAsNotRun) {
  for (const char* name : {"c", "d", "e", "f", "g", "h", "i"}) {
    g_fixture->PutServer(name, "d1");
  }
  g_fixture->Arrive("/write/x");
  while (g_fixture->m_steering.Running() > 0) {
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kNotSent);
  }
  cr_assert_eq(DescribeSteerRefusal(g_fixture->LastReason()).m_verdict,
               Verdict::kNotRun);
  cr_assert_leq(g_fixture->Count<SendToServer>(), 5);
}

}  // namespace
}  // namespace sorrelplank
