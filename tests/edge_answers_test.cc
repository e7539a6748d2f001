/// @file edge_answers_test.cc Answers to the platform and to asking clients.

#include <criterion/criterion.h>

#include <memory>

#include "platform/edge_answers_func.h"
#include "proxy/client_directory.h"
#include "tests/steering_fixture.h"

namespace sorrelplank::platform {
namespace {

/// An entry VM whose decisions know one route without homes.
struct AnswersFixture {
  SteeringFixture m_decisions;
  HttpRequest m_request;

  HttpResponse Ask(const std::vector<FleetMember>& fleet) {
    ClientDirectory directory;
    directory.SetFleet(fleet);
    return AnswerDirectory(m_request, directory, m_decisions.m_steering,
                           milliseconds(1500));
  }
};

std::unique_ptr<AnswersFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<AnswersFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(EdgeAnswers, .init = SetUp, .fini = TearDown);

Test(EdgeAnswers, Directory_VmOfTheRegion_IsNamedForItsLifetime) {
  g_fixture->m_request.m_path = "/sorrelplank/resolve";
  g_fixture->m_request.m_query = {{"Name", "h"}, {"Region", "r1"}};
  const HttpResponse answer =
      g_fixture->Ask({{"vm-1", "10.0.0.1:80", "d1", "r1"}});
  cr_assert_eq(answer.m_status, 200);
  cr_assert_str_eq(answer.m_body.c_str(),
                   R"({"Addresses":["10.0.0.1:80"],"TtlS":1.5})");
}

// An answer without addresses would be kept as one; a failure lets the client
// ask the next VM.
Test(EdgeAnswers, Directory_NoVm_IsAFailure) {
  g_fixture->m_request.m_path = "/sorrelplank/resolve";
  cr_assert_eq(g_fixture->Ask({}).m_status, 503);
}

Test(EdgeAnswers, UnknownPath_IsNotFound) {
  g_fixture->m_request.m_path = "/other";
  cr_assert_eq(g_fixture->Ask({}).m_status, 404);
  cr_assert_eq(AnswerReady(g_fixture->m_request, true).m_status, 404);
}

Test(EdgeAnswers, Ready_WithAndWithout_IsTold) {
  g_fixture->m_request.m_path = "/sorrelplank/ready";
  cr_assert_eq(AnswerReady(g_fixture->m_request, true).m_status, 200);
  cr_assert_eq(AnswerReady(g_fixture->m_request, false).m_status, 503);
}

}  // namespace
}  // namespace sorrelplank::platform
