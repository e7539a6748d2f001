/// @file steering_overload_test.cc Overload that must not feed itself.

#include <criterion/criterion.h>

#include <memory>

#include "proxy/proxy_header_names_type.h"
#include "proxy/reply_classifier_func.h"
#include "proxy/server_reply_type.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Requests on one object, so that one server is the first of all.
struct OverloadFixture : SteeringFixture {
  size_t Rests() const {
    size_t rests = 0;
    for (const SteerAction& action : m_actions) {
      const auto* belief = std::get_if<BeliefChanged>(&action);
      rests +=
          belief != nullptr && std::string(belief->m_what) == "server_rests"
              ? 1
              : 0;
    }
    return rests;
  }

  /// One request after the other, each answered after 100 ms.
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

// A server's queue is long, and requests reach their deadlines in it. The
// server answers 504 to each. Taken for failures, two of them sent its objects
// to a server that was not warm for them, which then fell behind in turn.
Test(SteeringOverload, ServersOwn504AtTheDeadline_Server_DoesNotRest) {
  for (int request = 0; request < 6; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kOutOfTime);
  }
  cr_assert_eq(g_fixture->Rests(), 0);
}

Test(SteeringOverload, OtherErrorsOfAServer_Server_Rests) {
  for (int request = 0; request < 6; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kServerError);
  }
  cr_assert_gt(g_fixture->Rests(), 0);
}

Test(SteeringOverload, Answer504OfAServer_Judged_IsOutOfTime) {
  ProxyHeaderNames names;
  names.m_stamp = "stamp";
  ServerReply reply;
  reply.m_end = ReplyEnd::kComplete;
  reply.m_response.m_status = 504;
  reply.m_response.m_headers = {{"stamp", "s"}};
  cr_assert_eq(ClassifyReply(reply, names).m_end, AttemptEnd::kOutOfTime);
}

// The same where this VM ends the requests at their routes' timeouts.
Test(SteeringOverload, TimeoutsBehindALongQueue_Server_DoesNotRest) {
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
  cr_assert_eq(g_fixture->Rests(), 0);
}

// A server that has nothing else to do takes requests and answers none.
Test(SteeringOverload, TimeoutsAtAnIdleServer_Server_Rests) {
  g_fixture->LearnUsualTime();
  for (int request = 0; request < 3; ++request) {
    g_fixture->Arrive("/write/x");
    g_fixture->Pass(seconds(2) + milliseconds(20));
  }
  cr_assert_gt(g_fixture->Rests(), 0);
}

}  // namespace
}  // namespace sorrelplank
