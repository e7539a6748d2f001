/// @file soak_ledger_test.cc Tests that the ledger detects each kind of breach.

#include "soak/ledger.h"

#include <criterion/criterion.h>

#include <memory>

namespace sorrelplank::soak {
namespace {

ServerRun MakeRun(const std::string& server,
                  const std::string& path,
                  const std::string& body) {
  return {.m_server = server,
          .m_path = path,
          .m_body = body,
          .m_organisation = "acme"};
}

/// A ledger in which one write and one read have been sent.
struct LedgerFixture {
  Ledger m_ledger;

  LedgerFixture() {
    m_ledger.RecordSent("w", {.m_vm = "vm",
                              .m_path = "/write/w",
                              .m_body = "b",
                              .m_idempotent = false,
                              .m_organisation = "acme"});
    m_ledger.RecordSent("r", {.m_vm = "vm",
                              .m_path = "/read/r",
                              .m_body = "",
                              .m_organisation = "acme"});
  }

  void RunWrite() { m_ledger.RecordRun("w", MakeRun("i-1", "/write/w", "b")); }
  void RespondToWrite(int status) {
    m_ledger.RecordResponse("w",
                            {.m_status = status,
                             .m_has_stamp = true,
                             .m_request_id = "w",
                             .m_body = Ledger::ResponseBody("w", "/write/w")});
  }
  size_t Breaches() const { return m_ledger.Breaches().size(); }
};

std::unique_ptr<LedgerFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<LedgerFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SoakLedger, .init = SetUp, .fini = TearDown);

Test(SoakLedger, Write_RunsOnceAndAnswered_IsNoBreach) {
  g_fixture->RunWrite();
  g_fixture->RespondToWrite(200);
  cr_assert_eq(g_fixture->Breaches(), 0);
}

Test(SoakLedger, Write_RunsTwice_IsABreach) {
  g_fixture->RunWrite();
  g_fixture->RunWrite();
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Read_RunsTwice_IsNoBreach) {
  g_fixture->m_ledger.RecordRun("r", MakeRun("i-1", "/read/r", ""));
  g_fixture->m_ledger.RecordRun("r", MakeRun("i-2", "/read/r", ""));
  cr_assert_eq(g_fixture->Breaches(), 0);
}

Test(SoakLedger, Write_RefusedAfterARun_IsABreach) {
  g_fixture->RunWrite();
  g_fixture->RespondToWrite(503);
  cr_assert_eq(g_fixture->Breaches(), 1);
}

// The caller is refused first; a copy of the request still in transit runs
// later.
Test(SoakLedger, Write_RunsAfterARefusal_IsABreach) {
  g_fixture->RespondToWrite(503);
  g_fixture->RunWrite();
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Write_FailsWithoutAPromise_MayHaveRun) {
  g_fixture->RunWrite();
  g_fixture->RespondToWrite(502);
  cr_assert_eq(g_fixture->Breaches(), 0);
}

Test(SoakLedger, Success_OfNoRun_IsABreach) {
  g_fixture->RespondToWrite(200);
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Success_WithAnotherBody_IsABreach) {
  g_fixture->RunWrite();
  g_fixture->m_ledger.RecordResponse("w", {.m_status = 200,
                                           .m_has_stamp = true,
                                           .m_request_id = "w",
                                           .m_body = "cut sho"});
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Answer_OfAnotherRequest_IsABreach) {
  g_fixture->RunWrite();
  g_fixture->m_ledger.RecordResponse("w", {.m_status = 500,
                                           .m_has_stamp = true,
                                           .m_request_id = "r",
                                           .m_body = ""});
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Run_NobodySent_IsABreach) {
  g_fixture->m_ledger.RecordRun("x", MakeRun("i-1", "/write/x", ""));
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Run_WithAnotherBody_IsABreach) {
  g_fixture->m_ledger.RecordRun("w", MakeRun("i-1", "/write/w", "other"));
  cr_assert_eq(g_fixture->Breaches(), 1);
}

Test(SoakLedger, Run_ForAnotherOrganisationOrWithTheKey_IsABreach) {
  ServerRun run = MakeRun("i-1", "/read/r", "");
  run.m_organisation = "byte";
  g_fixture->m_ledger.RecordRun("r", run);
  cr_assert_eq(g_fixture->Breaches(), 1);
  run.m_organisation = "acme";
  run.m_has_key = true;
  g_fixture->m_ledger.RecordRun("r", run);
  cr_assert_eq(g_fixture->Breaches(), 2);
}

}  // namespace
}  // namespace sorrelplank::soak
