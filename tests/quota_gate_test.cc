/// @file quota_gate_test.cc Quota tokens of one entry VM and their keepers.

#include "steer/quota_gate.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "proxy/quota_exchange.h"
#include "steer/quota_keeper.h"
#include "steer/quota_share_func.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// A gate in region r1, with one VM in each of two regions.
struct GateFixture {
  TimePoint m_now{seconds(100)};
  QuotaGate m_gate{{"r1", "r2"}};
  Organisation m_organisation = MakeOrganisation("acme", "k");
  uint64_t m_next = 1;

  GateFixture() {
    m_organisation.m_rate_per_second = 10;
    m_gate.SetFleet({{"vm-1", "", "d1", "r1"}, {"vm-2", "", "d2", "r2"}});
  }

  QuotaVerdict Arrive() {
    return m_gate.Arrived(RequestId(m_next++), HashOrganisation("acme"),
                          TermsOf(m_organisation), m_now);
  }

  /// Responds to a quota request with a grant of so many tokens.
  std::vector<QuotaOutcome> Answer(const AddressedQuotaRequest& addressed,
                                   uint32_t tokens) {
    return m_gate.TakeGrant({.m_subject = addressed.m_quota_request.m_subject,
                             .m_number = addressed.m_quota_request.m_number,
                             .m_tokens = tokens,
                             .m_is_keeper = true,
                             .m_wait = milliseconds(400)},
                            m_now);
  }

  std::vector<QuotaOutcome> Pass(Duration time) {
    m_now += time;
    return m_gate.Tick(m_now);
  }
};

std::unique_ptr<GateFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<GateFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(QuotaGate, .init = SetUp, .fini = TearDown);

Test(QuotaGate, FirstRequest_NoToken_AsksKeeperOfOwnRegion) {
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kWait);
  const auto requests = g_fixture->m_gate.TakeQuotaRequests();
  cr_assert_eq(requests.size(), 1);
  cr_assert_str_eq(requests[0].m_keeper.c_str(), "vm-1");
  const auto outcomes = g_fixture->Answer(requests[0], 1);
  cr_assert_eq(outcomes.size(), 1);
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kPass);
}

Test(QuotaGate, SeveralWait_Grants_ServeAllInOrder) {
  g_fixture->Arrive();
  const auto first = g_fixture->m_gate.TakeQuotaRequests();
  g_fixture->Arrive();
  g_fixture->Arrive();
  cr_assert(g_fixture->m_gate.TakeQuotaRequests().empty());
  const auto served = g_fixture->Answer(first[0], 1);
  cr_assert_eq(served.size(), 1);
  const auto second = g_fixture->m_gate.TakeQuotaRequests();
  cr_assert_eq(second[0].m_quota_request.m_tokens, 2);
  const auto outcomes = g_fixture->Answer(second[0], 2);
  cr_assert_eq(outcomes.size(), 2);
  cr_assert_eq(outcomes[0].m_request, RequestId(2));
}

// All clients are in one region: its keeper has no tokens left while that of
// another region has. Requests refused here would be below the limit.
Test(QuotaGate, OwnKeeperEmpty_OtherRegionsKeeper_IsAsked) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuotaRequests()[0], 0);
  const auto requests = g_fixture->m_gate.TakeQuotaRequests();
  cr_assert_str_eq(requests[0].m_keeper.c_str(), "vm-2");
  cr_assert_eq(g_fixture->Answer(requests[0], 1)[0].m_verdict,
               QuotaVerdict::kPass);
}

// All keepers are empty. The request is refused at once, and the next one
// without a quota request: an organisation far over its limit would overload
// the keepers.
Test(QuotaGate, AllKeepersEmpty_Requests_AreRefusedAtOnce) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuotaRequests()[0], 0);
  const auto outcomes =
      g_fixture->Answer(g_fixture->m_gate.TakeQuotaRequests()[0], 0);
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kExhausted);
  cr_assert_eq(g_fixture->m_gate.RetryAfter(HashOrganisation("acme")),
               Duration(milliseconds(400)));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kExhausted);
  cr_assert(g_fixture->m_gate.TakeQuotaRequests().empty());
  g_fixture->Pass(milliseconds(120));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kWait);
}

// The keeper was killed. Requests must not wait for it until they time out.
Test(QuotaGate, KeeperDoesNotRespond_NextKeeper_IsAsked) {
  g_fixture->Arrive();
  g_fixture->m_gate.TakeQuotaRequests();
  cr_assert(g_fixture->Pass(milliseconds(160)).empty());
  const auto requests = g_fixture->m_gate.TakeQuotaRequests();
  cr_assert_str_eq(requests[0].m_keeper.c_str(), "vm-2");
  g_fixture->Answer(requests[0], 1);
  g_fixture->Arrive();
  cr_assert_str_eq(g_fixture->m_gate.TakeQuotaRequests()[0].m_keeper.c_str(),
                   "vm-2");
}

// The VM is cut off from all keepers. Only the first requests wait for a grant.
Test(QuotaGate, NoKeeperResponds_Requests_DoNotWait) {
  g_fixture->Arrive();
  g_fixture->m_gate.TakeQuotaRequests();
  g_fixture->Pass(milliseconds(160));
  g_fixture->m_gate.TakeQuotaRequests();
  const auto outcomes = g_fixture->Pass(milliseconds(160));
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kKeepersUnreachable);
  g_fixture->Pass(seconds(2));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kKeepersUnreachable);
}

// Used in a later window, a token would add to that window's own tokens.
Test(QuotaGate, TokenUnused_ForASecond_IsDropped) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuotaRequests()[0], 3);
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
  g_fixture->Pass(seconds(1));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kWait);
}

Test(QuotaGate, WaitCancelled_Token_GoesToTheNextRequest) {
  g_fixture->Arrive();
  const auto requests = g_fixture->m_gate.TakeQuotaRequests();
  g_fixture->m_gate.CancelWait(RequestId(1), HashOrganisation("acme"));
  cr_assert(g_fixture->Answer(requests[0], 1).empty());
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
}

Test(QuotaGate, TokenReturned_NextRequest_TakesIt) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuotaRequests()[0], 1);
  g_fixture->m_gate.Return(HashOrganisation("acme"), g_fixture->m_now);
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
}

Test(QuotaShare, AllKeepersAndAllFallbacks_Sum_StaysWithinTheBound) {
  const QuotaBounds bounds{
      .m_window = seconds(5), .m_excess = 0.1, .m_slack = 20};
  for (const double rate : {1.0, 40.0, 1000.0}) {
    Organisation organisation = MakeOrganisation("acme", "k");
    organisation.m_rate_per_second = rate;
    organisation.m_burst = rate;
    const QuotaShare keeper = KeeperShare(TermsOf(organisation), bounds, 3);
    const QuotaShare fallback =
        FallbackShare(TermsOf(organisation), bounds, 100);
    const double most =
        3 * (keeper.m_rate * 5 + keeper.m_capacity) + 100 * fallback.m_rate * 5;
    cr_assert_leq(most, (rate * 5 + rate) * 1.1 + 20, "rate %g", rate);
  }
}

// The limit is lowered far below the number of tokens in the bucket.
Test(QuotaKeeper, LimitLowered_Tokens_AreDropped) {
  QuotaKeeper keeper;
  keeper.SetBounds({.m_window = seconds(5), .m_excess = 0, .m_slack = 0});
  Organisation organisation = MakeOrganisation("acme", "k");
  organisation.m_rate_per_second = 100;
  organisation.m_burst = 100;
  const QuotaRequest one{.m_subject = HashOrganisation("acme"), .m_tokens = 1};
  TimePoint now(seconds(100));
  keeper.FleetChanged(now);
  keeper.Grant(one, TermsOf(organisation), 1, now);
  now += seconds(10);
  organisation.m_rate_per_second = 2;
  organisation.m_burst = 2;
  QuotaRequest many = one;
  many.m_tokens = 50;
  cr_assert_eq(keeper.Grant(many, TermsOf(organisation), 1, now).m_tokens, 2);
}

// The first request for an organisation comes long after the start. Its burst
// is available at once.
Test(QuotaKeeper, FirstQuotaRequestLongAfterStart_Burst_IsAvailable) {
  QuotaKeeper keeper;
  Organisation organisation = MakeOrganisation("acme", "k");
  organisation.m_rate_per_second = 10;
  organisation.m_burst = 10;
  const TimePoint now(seconds(100));
  keeper.FleetChanged(now);
  const QuotaRequest quota_request{.m_subject = HashOrganisation("acme"),
                                   .m_tokens = 8};
  cr_assert_eq(
      keeper.Grant(quota_request, TermsOf(organisation), 1, now + seconds(5))
          .m_tokens,
      8);
}

Test(QuotaMessages, Encoded_Decoded_AreTheSame) {
  const std::string quota_request = EncodeQuotaMessage(QuotaRequest{
      .m_subject = HashOrganisation("acme"), .m_number = 7, .m_tokens = 3});
  const auto read =
      DecodeQuotaMessage(quota_request.data(), quota_request.size());
  cr_assert_eq(std::get<QuotaRequest>(*read).m_subject,
               HashOrganisation("acme"));
  cr_assert_eq(std::get<QuotaRequest>(*read).m_number, 7);
  cr_assert_eq(std::get<QuotaRequest>(*read).m_tokens, 3);
  const std::string grant =
      EncodeQuotaMessage(QuotaGrant{.m_subject = HashOrganisation("acme"),
                                    .m_number = 7,
                                    .m_tokens = 2,
                                    .m_is_keeper = true,
                                    .m_wait = milliseconds(250)});
  const auto answer = DecodeQuotaMessage(grant.data(), grant.size());
  cr_assert_eq(std::get<QuotaGrant>(*answer).m_tokens, 2);
  cr_assert(std::get<QuotaGrant>(*answer).m_is_keeper);
  cr_assert_eq(std::get<QuotaGrant>(*answer).m_wait,
               Duration(milliseconds(250)));
}

// Anybody can send a datagram to the port.
Test(QuotaMessages, Malformed_Decoded_IsRejected) {
  cr_assert_not(DecodeQuotaMessage("", 0).has_value());
  cr_assert_not(DecodeQuotaMessage("\xff\xff\xff", 3).has_value());
  const std::string greedy =
      EncodeQuotaMessage(QuotaRequest{.m_tokens = 4'000'000'000U});
  cr_assert_not(DecodeQuotaMessage(greedy.data(), greedy.size()).has_value());
}

/// A single VM, which is the keeper of its organisations' quotas.
struct LimitFixture : SteeringFixture {
  LimitFixture() { SetLimit(2, 10); }

  void SetLimit(uint64_t version, double rate) {
    Organisation organisation = MakeOrganisation("acme", "k");
    organisation.m_rate_per_second = rate;
    organisation.m_burst = rate;
    Install(version, {MakeRoute("/read/", true)}, {{organisation}});
  }

  /// Sends this many requests at the same time, each answered at once.
  void SendMany(int count) {
    for (int number = 0; number < count; ++number) {
      const size_t before = Count<SendToServer>();
      ArriveWithKey("/read/x", "k", m_next);
      if (Count<SendToServer>() > before) {
        End(*Last<SendToServer>(), AttemptEnd::kAnswered);
      }
    }
  }
};

// The regions r1 and r2 have half of the limit each, and r2 has no VM.
Test(Quotas, MoreThanTheBurst_Requests_Are429WithRetryAfter) {
  LimitFixture fixture;
  fixture.Pass(seconds(5));
  fixture.SendMany(20);
  cr_assert_eq(fixture.Count<SendToServer>(), 5);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kOverQuota);
  cr_assert_gt(fixture.Last<RefuseRequest>()->m_retry_after.count(), 0);
}

// Requests are refused for lack of servers. They did not run and must not count
// towards the limit.
Test(Quotas, RefusedForLackOfServers_Token_IsReturned) {
  LimitFixture fixture;
  fixture.Pass(seconds(5));
  fixture.m_steering.RemoveServer("a", fixture.m_now);
  fixture.m_steering.RemoveServer("b", fixture.m_now);
  fixture.SendMany(20);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kNoServer);
  fixture.PutServer("a", "d1");
  fixture.PutServer("b", "d2");
  fixture.SendMany(20);
  cr_assert_eq(fixture.Count<SendToServer>(), 5);
}

Test(Quotas, NoLimit_Requests_ArePassed) {
  LimitFixture fixture;
  fixture.SetLimit(3, 0);
  fixture.SendMany(50);
  cr_assert_eq(fixture.Count<SendToServer>(), 50);
}

// A request waits for the keeper's grant and meanwhile its key is revoked.
Test(Quotas, KeyRevoked_RequestWaitingForAToken_Is401) {
  LimitFixture fixture;
  fixture.m_steering.SetFleet({{"vm-9", "10.0.0.9:80", "d1", "r1"}},
                              fixture.m_now);
  fixture.ArriveWithKey("/read/x", "k");
  cr_assert_eq(fixture.m_steering.AwaitingTokens(), 1);
  fixture.Install(3, {MakeRoute("/read/", true)},
                  {{MakeOrganisation("byte", "other")}});
  cr_assert_eq(fixture.m_steering.AwaitingTokens(), 0);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kUnknownKey);
}

// The keeper is another VM, and the client disconnects before it responds.
Test(Quotas, ClientLeaves_RequestWaitingForAToken_IsDropped) {
  LimitFixture fixture;
  fixture.m_steering.SetFleet({{"vm-9", "10.0.0.9:80", "d1", "r1"}},
                              fixture.m_now);
  const RequestId id = fixture.ArriveWithKey("/read/x", "k");
  fixture.m_steering.ClientLeft(id, fixture.m_now);
  cr_assert_eq(fixture.m_steering.AwaitingTokens(), 0);
  const QuotaRequest quota_request =
      fixture.Last<SendQuotaRequest>()->m_request.m_quota_request;
  fixture.m_steering.ApplyQuotaGrant({.m_subject = quota_request.m_subject,
                                      .m_number = quota_request.m_number,
                                      .m_tokens = 1,
                                      .m_is_keeper = true},
                                     fixture.m_now);
  cr_assert_eq(fixture.Count<SendToServer>(), 0);
}

// By its fleet this VM is not the keeper; its grants would add to those of the
// keeper.
Test(Quotas, NotTheKeeper_QuotaRequest_IsGrantedNothing) {
  LimitFixture fixture;
  const QuotaRequest quota_request{.m_subject = HashOrganisation("acme"),
                                   .m_tokens = 1};
  cr_assert(
      fixture.m_steering.GrantQuota(quota_request, fixture.m_now).m_is_keeper);
  fixture.m_steering.SetFleet({{"vm-9", "10.0.0.9:80", "d1", "r1"}},
                              fixture.m_now);
  cr_assert_not(
      fixture.m_steering.GrantQuota(quota_request, fixture.m_now).m_is_keeper);
}

}  // namespace
}  // namespace sorrelplank
