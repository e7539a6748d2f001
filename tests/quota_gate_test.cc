/// @file quota_gate_test.cc Tokens of one entry VM, and their keepers.

#include "steer/quota_gate.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "proxy/quota_exchange.h"
#include "steer/quota_keeper.h"
#include "steer/quota_part_func.h"
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

  /// Answers the only question.
  std::vector<QuotaOutcome> Answer(const QuotaQuestion& question,
                                   uint32_t tokens) {
    return m_gate.TakeGrant({.m_subject = question.m_ask.m_subject,
                             .m_number = question.m_ask.m_number,
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
  const auto questions = g_fixture->m_gate.TakeQuestions();
  cr_assert_eq(questions.size(), 1);
  cr_assert_str_eq(questions[0].m_keeper.c_str(), "vm-1");
  const auto outcomes = g_fixture->Answer(questions[0], 1);
  cr_assert_eq(outcomes.size(), 1);
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kPass);
}

Test(QuotaGate, SeveralWait_OneAnswer_ServesAllInTurn) {
  g_fixture->Arrive();
  const auto first = g_fixture->m_gate.TakeQuestions();
  g_fixture->Arrive();
  g_fixture->Arrive();
  cr_assert(g_fixture->m_gate.TakeQuestions().empty());
  const auto served = g_fixture->Answer(first[0], 1);
  cr_assert_eq(served.size(), 1);
  const auto second = g_fixture->m_gate.TakeQuestions();
  cr_assert_eq(second[0].m_ask.m_tokens, 2);
  const auto outcomes = g_fixture->Answer(second[0], 2);
  cr_assert_eq(outcomes.size(), 2);
  cr_assert_eq(outcomes[0].m_request, RequestId(2));
}

// The own region's keeper has nothing left while another one's has: clients
// stand in one region. Refused here, they would be below the limit.
Test(QuotaGate, OwnKeeperEmpty_OtherRegions_AreAsked) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuestions()[0], 0);
  const auto questions = g_fixture->m_gate.TakeQuestions();
  cr_assert_str_eq(questions[0].m_keeper.c_str(), "vm-2");
  cr_assert_eq(g_fixture->Answer(questions[0], 1)[0].m_verdict,
               QuotaVerdict::kPass);
}

// All are empty. The request is refused at once, and so is the next one,
// without asking: an organisation far over its limit would busy the keepers.
Test(QuotaGate, AllKeepersEmpty_Requests_AreRefusedAtOnce) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuestions()[0], 0);
  const auto outcomes =
      g_fixture->Answer(g_fixture->m_gate.TakeQuestions()[0], 0);
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kOver);
  cr_assert_eq(g_fixture->m_gate.ComeBackAfter(HashOrganisation("acme")),
               Duration(milliseconds(400)));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kOver);
  cr_assert(g_fixture->m_gate.TakeQuestions().empty());
  g_fixture->Pass(milliseconds(120));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kWait);
}

// The keeper was killed. Its silence must not hold requests until they time
// out.
Test(QuotaGate, KeeperSilent_Request_GoesToTheNext) {
  g_fixture->Arrive();
  g_fixture->m_gate.TakeQuestions();
  cr_assert(g_fixture->Pass(milliseconds(160)).empty());
  const auto questions = g_fixture->m_gate.TakeQuestions();
  cr_assert_str_eq(questions[0].m_keeper.c_str(), "vm-2");
  g_fixture->Answer(questions[0], 1);
  g_fixture->Arrive();
  cr_assert_str_eq(g_fixture->m_gate.TakeQuestions()[0].m_keeper.c_str(),
                   "vm-2");
}

// Cut off from all keepers. Only the first requests wait for what may come.
Test(QuotaGate, AllSilent_Requests_AreNotHeld) {
  g_fixture->Arrive();
  g_fixture->m_gate.TakeQuestions();
  g_fixture->Pass(milliseconds(160));
  g_fixture->m_gate.TakeQuestions();
  const auto outcomes = g_fixture->Pass(milliseconds(160));
  cr_assert_eq(outcomes[0].m_verdict, QuotaVerdict::kOutOfReach);
  g_fixture->Pass(seconds(2));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kOutOfReach);
}

// Used in a later window, a token would count there beside that window's own.
Test(QuotaGate, TokenUnused_ForASecond_IsDropped) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuestions()[0], 3);
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
  g_fixture->Pass(seconds(1));
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kWait);
}

Test(QuotaGate, RequestLeft_Token_GoesToTheNext) {
  g_fixture->Arrive();
  const auto questions = g_fixture->m_gate.TakeQuestions();
  g_fixture->m_gate.Left(RequestId(1), HashOrganisation("acme"));
  cr_assert(g_fixture->Answer(questions[0], 1).empty());
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
}

Test(QuotaGate, RequestDidNotRun_Token_ServesAnother) {
  g_fixture->Arrive();
  g_fixture->Answer(g_fixture->m_gate.TakeQuestions()[0], 1);
  g_fixture->m_gate.Return(HashOrganisation("acme"), g_fixture->m_now);
  cr_assert_eq(g_fixture->Arrive(), QuotaVerdict::kPass);
}

Test(QuotaPart, AllKeepersAndAllOutOfReach_Sum_StaysWithinTheBound) {
  const QuotaBounds bounds{
      .m_window = seconds(5), .m_excess = 0.1, .m_slack = 20};
  for (const double rate : {1.0, 40.0, 1000.0}) {
    Organisation organisation = MakeOrganisation("acme", "k");
    organisation.m_rate_per_second = rate;
    organisation.m_burst = rate;
    const QuotaPart keeper = PartOfKeeper(TermsOf(organisation), bounds, 3);
    const QuotaPart alone = PartOutOfReach(TermsOf(organisation), bounds, 100);
    const double most =
        3 * (keeper.m_rate * 5 + keeper.m_capacity) + 100 * alone.m_rate * 5;
    cr_assert_leq(most, (rate * 5 + rate) * 1.1 + 20, "rate %g", rate);
  }
}

// The limit is lowered far below what the bucket holds.
Test(QuotaKeeper, LimitLowered_Tokens_AreDropped) {
  QuotaKeeper keeper;
  keeper.SetBounds({.m_window = seconds(5), .m_excess = 0, .m_slack = 0});
  Organisation organisation = MakeOrganisation("acme", "k");
  organisation.m_rate_per_second = 100;
  organisation.m_burst = 100;
  const QuotaAsk one{.m_subject = HashOrganisation("acme"), .m_tokens = 1};
  TimePoint now(seconds(100));
  keeper.FleetChanged(now);
  keeper.Grant(one, TermsOf(organisation), 1, now);
  now += seconds(10);
  organisation.m_rate_per_second = 2;
  organisation.m_burst = 2;
  QuotaAsk many = one;
  many.m_tokens = 50;
  cr_assert_eq(keeper.Grant(many, TermsOf(organisation), 1, now).m_tokens, 2);
}

// Nobody asked for an organisation for long. Its burst is there at once.
Test(QuotaKeeper, FirstAskLongAfterStart_Burst_IsThere) {
  QuotaKeeper keeper;
  Organisation organisation = MakeOrganisation("acme", "k");
  organisation.m_rate_per_second = 10;
  organisation.m_burst = 10;
  const TimePoint now(seconds(100));
  keeper.FleetChanged(now);
  const QuotaAsk ask{.m_subject = HashOrganisation("acme"), .m_tokens = 8};
  cr_assert_eq(
      keeper.Grant(ask, TermsOf(organisation), 1, now + seconds(5)).m_tokens,
      8);
}

Test(QuotaMessages, Encoded_Decoded_AreTheSame) {
  const std::string ask = EncodeQuotaMessage(QuotaAsk{
      .m_subject = HashOrganisation("acme"), .m_number = 7, .m_tokens = 3});
  const auto read = DecodeQuotaMessage(ask.data(), ask.size());
  cr_assert_eq(std::get<QuotaAsk>(*read).m_subject, HashOrganisation("acme"));
  cr_assert_eq(std::get<QuotaAsk>(*read).m_number, 7);
  cr_assert_eq(std::get<QuotaAsk>(*read).m_tokens, 3);
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
Test(QuotaMessages, Malformed_Decoded_IsNothing) {
  cr_assert_not(DecodeQuotaMessage("", 0).has_value());
  cr_assert_not(DecodeQuotaMessage("\xff\xff\xff", 3).has_value());
  const std::string greedy =
      EncodeQuotaMessage(QuotaAsk{.m_tokens = 4'000'000'000U});
  cr_assert_not(DecodeQuotaMessage(greedy.data(), greedy.size()).has_value());
}

/// One VM that keeps its organisations' quotas itself.
struct LimitFixture : SteeringFixture {
  LimitFixture() { SetLimit(2, 10); }

  void SetLimit(uint64_t version, double rate) {
    Organisation organisation = MakeOrganisation("acme", "k");
    organisation.m_rate_per_second = rate;
    organisation.m_burst = rate;
    Install(version, {MakeRoute("/read/", true)}, {{organisation}});
  }

  /// Sends this many requests in a moment, each answered at once.
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

// The regions r1 and r2 keep half of the limit each, and r2 has no VM.
Test(Quotas, MoreThanTheBurst_Requests_Are429WithATimeToComeBack) {
  LimitFixture fixture;
  fixture.Pass(seconds(5));
  fixture.SendMany(20);
  cr_assert_eq(fixture.Count<SendToServer>(), 5);
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kOverQuota);
  cr_assert_gt(fixture.Last<RefuseRequest>()->m_retry_after.count(), 0);
}

// All servers are full and the request is refused. It did not run, and must not
// count towards the limit.
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

// A request is held for the keeper's answer, and meanwhile its key is taken
// away.
Test(Quotas, KeyTakenAway_RequestHeldForAToken_Is401) {
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

// The keeper is another VM, and the client leaves before it answers.
Test(Quotas, ClientLeaves_RequestHeldForAToken_IsForgotten) {
  LimitFixture fixture;
  fixture.m_steering.SetFleet({{"vm-9", "10.0.0.9:80", "d1", "r1"}},
                              fixture.m_now);
  const RequestId id = fixture.ArriveWithKey("/read/x", "k");
  fixture.m_steering.ClientLeft(id, fixture.m_now);
  cr_assert_eq(fixture.m_steering.AwaitingTokens(), 0);
  const QuotaAsk ask = fixture.Last<AskForTokens>()->m_question.m_ask;
  fixture.m_steering.ApplyQuotaGrant({.m_subject = ask.m_subject,
                                      .m_number = ask.m_number,
                                      .m_tokens = 1,
                                      .m_is_keeper = true},
                                     fixture.m_now);
  cr_assert_eq(fixture.Count<SendToServer>(), 0);
}

// This VM is no keeper by its fleet; what it granted would be beside the
// keeper.
Test(Quotas, NotTheKeeper_Ask_IsGrantedNothing) {
  LimitFixture fixture;
  const QuotaAsk ask{.m_subject = HashOrganisation("acme"), .m_tokens = 1};
  cr_assert(fixture.m_steering.AnswerQuotaAsk(ask, fixture.m_now).m_is_keeper);
  fixture.m_steering.SetFleet({{"vm-9", "10.0.0.9:80", "d1", "r1"}},
                              fixture.m_now);
  cr_assert_not(
      fixture.m_steering.AnswerQuotaAsk(ask, fixture.m_now).m_is_keeper);
}

}  // namespace
}  // namespace sorrelplank
