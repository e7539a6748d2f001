/// @file steering_overload_test.cc Overload must not be amplified by ejecting
/// servers.

#include <criterion/criterion.h>

#include <memory>

#include "proxy/proxy_header_names_type.h"
#include "proxy/reply_classifier_func.h"
#include "proxy/server_reply_type.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Requests on one object, so that they prefer the same server.
struct OverloadFixture : SteeringFixture {
  size_t Ejections() const {
    size_t ejections = 0;
    for (const SteerAction& action : m_actions) {
      const auto* change = std::get_if<StateChanged>(&action);
      ejections +=
          change != nullptr && std::string(change->m_event) == "server_rests"
              ? 1
              : 0;
    }
    return ejections;
  }

  /// Sends one request at a time, each answered after 100 ms.
  void LearnUsualTime() {
    for (int request = 0; request < 20; ++request) {
      Arrive("/write/x");
      Pass(milliseconds(100));
      End(*Last<SendToServer>(), AttemptEnd::kAnswered);
    }
  }
};

std::unique_ptr<OverloadFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<OverloadFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringOverload, .init = SetUp, .fini = TearDown);

// A server's queue is long, and it answers 504 to requests that reach their
// deadlines there. Counted as failures, two of them ejected the server and sent
// its objects to one that did not have them cached, which then fell behind in
// turn.
Test(SteeringOverload, ServersOwn504AtTheDeadline_Server_IsNotEjected) {
  for (int request = 0; request < 6; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->End(*g_fixture->Last<SendToServer>(),
                   AttemptEnd::kDeadlineExceeded);
  }
  cr_assert_eq(g_fixture->Ejections(), 0);
}

Test(SteeringOverload, OtherErrorsOfAServer_Server_IsEjected) {
  for (int request = 0; request < 6; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kServerError);
  }
  cr_assert_gt(g_fixture->Ejections(), 0);
}

Test(SteeringOverload, Response504OfAServer_Classified_IsDeadlineExceeded) {
  ProxyHeaderNames names;
  names.m_stamp = "stamp";
  ServerReply reply;
  reply.m_end = ReplyEnd::kComplete;
  reply.m_response.m_status = 504;
  reply.m_response.m_headers = {{"stamp", "s"}};
  cr_assert_eq(ClassifyReply(reply, names).m_end,
               AttemptEnd::kDeadlineExceeded);
}

// The same if this VM ends the requests at their routes' timeouts.
Test(SteeringOverload, TimeoutsBehindALongQueue_Server_IsNotEjected) {
  g_fixture->LearnUsualTime();
  RouteRule route = MakeRoute("/write/", false);
  route.m_timeout = milliseconds(300);
  g_fixture->Install(2, {route});
  for (int round = 0; round < 4; ++round) {
    for (int request = 0; request < 3; ++request) {
      g_fixture->Arrive("/write/x");
    }
    g_fixture->Pass(milliseconds(400));
  }
  cr_assert_eq(g_fixture->Ejections(), 0);
}

// A server without other load accepts requests and answers none.
Test(SteeringOverload, TimeoutsAtAnIdleServer_Server_IsEjected) {
  g_fixture->LearnUsualTime();
  for (int request = 0; request < 3; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->Pass(seconds(2) + milliseconds(20));
  }
  cr_assert_gt(g_fixture->Ejections(), 0);
}

}  // namespace
}  // namespace sorrelplank
