/// @file domain_breaker_test.cc Circuit breaker of a failure domain.

#include "steer/domain_breaker.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// A breaker opened by four unreachable servers.
struct BreakerFixture {
  TimePoint m_now{seconds(100)};
  DomainBreaker m_breaker;

  BreakerFixture() { CountConnectFailure(4); }

  void CountConnectFailure(int servers) {
    for (int server = 0; server < servers; ++server) {
      m_breaker.CountConnectFailure(std::to_string(server), m_now);
    }
  }
};

std::unique_ptr<BreakerFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<BreakerFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(DomainBreaker, .init = SetUp, .fini = TearDown);

Test(DomainBreaker, SeveralServersUnreached_NoneReached_Opens) {
  cr_assert(g_fixture->m_breaker.IsOpen(g_fixture->m_now));
}

// One server is down and is tried again and again.
Test(DomainBreaker, SameServerUnreached_ManyTimes_StaysClosed) {
  DomainBreaker breaker;
  for (int count = 0; count < 20; ++count) {
    breaker.CountConnectFailure("a", g_fixture->m_now);
  }
  cr_assert_not(breaker.IsOpen(g_fixture->m_now));
}

// Some of a domain's servers crashed; others respond in between.
Test(DomainBreaker, SomeReached_InBetween_StaysClosed) {
  DomainBreaker breaker;
  for (int server = 0; server < 20; ++server) {
    breaker.CountConnectFailure(std::to_string(server), g_fixture->m_now);
    if (server % 3 == 2) {
      breaker.CountConnectSuccess();
    }
  }
  cr_assert_not(breaker.IsOpen(g_fixture->m_now));
}

// The domain is still down after the probe interval. One request probes it;
// those that arrive before its connection fails are not sent there.
Test(DomainBreaker, ProbeIntervalOver_FirstRequest_IsTheOnlyProbe) {
  g_fixture->m_now += milliseconds(500);
  cr_assert_not(g_fixture->m_breaker.IsOpen(g_fixture->m_now));
  g_fixture->m_breaker.CountSend(g_fixture->m_now);
  cr_assert(g_fixture->m_breaker.IsOpen(g_fixture->m_now));
}

Test(DomainBreaker, Probe_Succeeds_Closes) {
  cr_assert(g_fixture->m_breaker.CountConnectSuccess());
  cr_assert_not(g_fixture->m_breaker.IsOpen(g_fixture->m_now));
}

// All servers of the own region refuse connections; the other region has a
// server. After the first few requests, the others go there without trying the
// own region first, and are answered.
Test(DomainBreaker, OwnRegionDown_RequestsArrive_GoToTheOtherRegion) {
  SteeringFixture fixture;
  fixture.m_steering.RemoveServer("a", fixture.m_now);
  fixture.m_steering.RemoveServer("b", fixture.m_now);
  for (int server = 0; server < 6; ++server) {
    fixture.PutServer("down" + std::to_string(server), "d1");
  }
  fixture.PutServer("far", "d3");
  fixture.Pass(milliseconds(200));
  size_t sent_home = 0;
  for (uint64_t request = 0; request < 40; ++request) {
    fixture.Arrive("/write/x", request);
    while (fixture.m_steering.Running() > 0) {
      const SendToServer send = *fixture.Last<SendToServer>();
      const bool is_far = send.m_instance == "far";
      sent_home += is_far ? 0 : 1;
      fixture.End(send, is_far ? AttemptEnd::kAnswered : AttemptEnd::kNotSent);
    }
    fixture.Pass(milliseconds(100));
  }
  cr_assert_leq(sent_home, 20, "%zu", sent_home);
  cr_assert_geq(fixture.Count<ForwardServerAnswer>(), 37);
}

}  // namespace
}  // namespace sorrelplank
