/// @file steering_restart_test.cc Backend servers that restart under the same
/// id.

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr milliseconds kFirstStart{1'000'000};
constexpr milliseconds kSecondStart{1'007'500};

/// Server "a", known from its first run, and "b", both with two slots.
struct RestartFixture : SteeringFixture {
  RestartFixture() { PutRun(kFirstStart); }

  ServerEntry Entry(milliseconds start) const {
    return {"a", "s", {1, 80}, "d1", 2, false, {}, start};
  }
  ServerChange PutRun(milliseconds start) {
    return m_steering.PutServer(Entry(start), m_now);
  }

  /// An object that ranks "a" first.
  uint64_t ObjectOfA() {
    for (uint64_t object = 1; object < 100; ++object) {
      Arrive("/read/x", object);
      const SendToServer send = *Last<SendToServer>();
      End(send, AttemptEnd::kAnswered);
      if (send.m_instance == "a") {
        return object;
      }
    }
    cr_assert_fail("no object ranks server a first");
    return 0;
  }

  SendToServer SendToA(const std::string& path) {
    const uint64_t object = ObjectOfA();
    Arrive(path, object);
    const SendToServer send = *Last<SendToServer>();
    cr_assert_str_eq(send.m_instance.c_str(), "a");
    return send;
  }
};

std::unique_ptr<RestartFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<RestartFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringRestart, .init = SetUp, .fini = TearDown);

Test(SteeringRestart, SameStart_EntryAgain_IsTheSameRun) {
  cr_assert_eq(g_fixture->PutRun(kFirstStart), ServerChange::kUpdated);
  cr_assert_eq(g_fixture->PutRun(kSecondStart), ServerChange::kRestarted);
  cr_assert_eq(g_fixture->m_steering.ServerCount(), 2);
}

// A server crashes and restarts under its id. The old run's requests are lost,
// and their connections may stay silent, so that callers would wait until their
// deadlines. A read must go to another server at once.
Test(SteeringRestart, ReadUnderWay_ServerStartsAgain_GoesElsewhereAtOnce) {
  const SendToServer lost = g_fixture->SendToA("/read/x");
  g_fixture->PutRun(kSecondStart);
  cr_assert_eq(g_fixture->Last<CancelSend>()->m_attempt.Get(),
               lost.m_attempt.Get());
  const auto& again = *g_fixture->Last<SendToServer>();
  cr_assert_eq(again.m_request.Get(), lost.m_request.Get());
  cr_assert_str_eq(again.m_instance.c_str(), "b");
}

// A write may have run before the crash; its caller must be told so at once.
Test(SteeringRestart, WriteUnderWay_ServerStartsAgain_MayHaveRun) {
  g_fixture->SendToA("/write/x");
  g_fixture->PutRun(kSecondStart);
  cr_assert_eq(g_fixture->Count<RefuseRequest>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kLost);
}

// The old run was ejected after failures. The new run must not inherit that.
Test(SteeringRestart, EjectedServer_StartsAgain_IsUsedAgain) {
  const uint64_t object = g_fixture->ObjectOfA();
  for (int failure = 0; failure < 3; ++failure) {
    g_fixture->Arrive("/write/x", object);
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kLost);
  }
  g_fixture->Arrive("/write/x", object);
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "b");
  g_fixture->PutRun(kSecondStart);
  g_fixture->Arrive("/write/x", object);
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "a");
}

// Another server reported that it has the address. After its next start the
// server has the address again.
Test(SteeringRestart, GoneServer_StartsAgain_IsUsedAgain) {
  const uint64_t object = g_fixture->ObjectOfA();
  g_fixture->Arrive("/write/x", object);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kWrongInstance);
  g_fixture->PutRun(kSecondStart);
  g_fixture->Arrive("/write/x", object);
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "a");
}

// A late write of the old run reaches the store after the new run's entry. If
// it were applied, requests would go to a leaving server.
Test(SteeringRestart, EntryOfOlderRun_ComesLate_IsIgnored) {
  ServerEntry leaving = g_fixture->Entry(kSecondStart);
  leaving.m_leaving = true;
  g_fixture->m_steering.PutServer(leaving, g_fixture->m_now);
  cr_assert_eq(g_fixture->PutRun(kFirstStart), ServerChange::kOlderRun);
  for (uint64_t object = 1; object < 20; ++object) {
    g_fixture->Arrive("/read/x", object);
    const SendToServer send = *g_fixture->Last<SendToServer>();
    cr_assert_str_eq(send.m_instance.c_str(), "b");
    g_fixture->End(send, AttemptEnd::kAnswered);
  }
}

// A load report shared by another VM says that the server is full of other VMs'
// requests, but it is older than the new run's start, so it belongs to the old
// run.
Test(SteeringRestart, LoadReportOfOlderRun_ArrivesLate_IsIgnored) {
  const uint64_t object = g_fixture->ObjectOfA();
  g_fixture->Pass(seconds(1));
  g_fixture->PutRun(kSecondStart);
  g_fixture->m_steering.ApplyPeerLoads(
      {{HashName("a"), {20, 20, 2}, milliseconds(200)}}, g_fixture->m_now);
  g_fixture->Arrive("/read/x", object);
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(), "a");
}

// A server restarts under its id with another service. Left in the list of the
// old service, it got requests that it must not run.
Test(SteeringRestart, OtherServiceUnderTheId_RequestsOfTheOldOne_GoElsewhere) {
  ServerEntry other = g_fixture->Entry(kSecondStart);
  other.m_service = "t";
  g_fixture->m_steering.PutServer(other, g_fixture->m_now);
  for (uint64_t object = 1; object < 20; ++object) {
    g_fixture->Arrive("/read/x", object);
    const SendToServer send = *g_fixture->Last<SendToServer>();
    cr_assert_str_eq(send.m_instance.c_str(), "b");
    g_fixture->End(send, AttemptEnd::kAnswered);
  }
}

Test(SteeringRestart, UnknownDomainUnderTheId_Requests_GoElsewhere) {
  ServerEntry other = g_fixture->Entry(kSecondStart);
  other.m_failure_domain = "nowhere";
  cr_assert_eq(g_fixture->m_steering.PutServer(other, g_fixture->m_now),
               ServerChange::kUnknownDomain);
  cr_assert_eq(g_fixture->m_steering.ServerCount(), 1);
}

}  // namespace
}  // namespace sorrelplank
