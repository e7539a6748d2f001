/// @file edge_responses_test.cc Responses to readiness checks and to clients
/// that look up addresses.

#include <criterion/criterion.h>

#include <memory>

#include "platform/edge_responses_func.h"
#include "proxy/client_directory.h"
#include "tests/steering_fixture.h"

namespace sorrelplank::platform {
namespace {

/// An entry VM whose routing table has one route without home regions.
struct ResponsesFixture {
  SteeringFixture m_decisions;
  HttpRequest m_request;

  HttpResponse Ask(const std::vector<FleetMember>& fleet) {
    ClientDirectory directory;
    directory.SetFleet(fleet);
    return MakeDirectoryResponse(m_request, directory, m_decisions.m_steering,
                                 milliseconds(1500));
  }
};

std::unique_ptr<ResponsesFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ResponsesFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(EdgeResponses, .init = SetUp, .fini = TearDown);

Test(EdgeResponses, Directory_VmOfTheRegion_IsListedWithTtl) {
  g_fixture->m_request.m_path = "/sorrelplank/resolve";
  g_fixture->m_request.m_raw_query = "Name=h&Region=r1";
  const HttpResponse answer =
      g_fixture->Ask({{"vm-1", "10.0.0.1:80", "d1", "r1"}});
  cr_assert_eq(answer.m_status, 200);
  cr_assert_str_eq(answer.m_body.c_str(),
                   R"({"Addresses":["10.0.0.1:80"],"TtlS":1.5})");
}

// Clients would cache an empty list; after a failure, they query the next VM.
Test(EdgeResponses, Directory_NoVm_IsAFailure) {
  g_fixture->m_request.m_path = "/sorrelplank/resolve";
  cr_assert_eq(g_fixture->Ask({}).m_status, 503);
}

Test(EdgeResponses, UnknownPath_IsNotFound) {
  g_fixture->m_request.m_path = "/other";
  cr_assert_eq(g_fixture->Ask({}).m_status, 404);
  cr_assert_eq(MakeReadyResponse(g_fixture->m_request, true).m_status, 404);
}

Test(EdgeResponses, Ready_ReadyOrNot_IsReported) {
  g_fixture->m_request.m_path = "/sorrelplank/ready";
  cr_assert_eq(MakeReadyResponse(g_fixture->m_request, true).m_status, 200);
  cr_assert_eq(MakeReadyResponse(g_fixture->m_request, false).m_status, 503);
}

}  // namespace
}  // namespace sorrelplank::platform
