/// @file load_exchange_test.cc Exchange of server loads between entry VMs.

#include "proxy/load_exchange.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Two exchanges on loopback; the first one sends to the second.
struct ExchangeFixture {
  asio::io_context m_io{1};
  /// Differs per process, since tests run in parallel processes.
  const uint32_t m_network =
      0x7f4e0000U + ((static_cast<uint32_t>(getpid()) & 0x7fffU) << 1U);
  const VmAddress m_first_address{m_network, 7540};
  const VmAddress m_second_address{m_network + 1, 7540};
  std::vector<ServerLoad> m_received;
  LoadExchange m_first{m_io, m_first_address, [](const auto&) {}};
  LoadExchange m_second{m_io, m_second_address,
                        [this](const auto& loads) { m_received = loads; }};

  ExchangeFixture() { m_first.SetPeers({m_second_address}); }
};

std::unique_ptr<ExchangeFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ExchangeFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(LoadExchange, .init = SetUp, .fini = TearDown);

Test(LoadExchange, Loads_Sent_ArriveAtThePeer) {
  g_fixture->m_first.SendLoads(
      {{HashName("i-1"), {.m_running = 3, .m_waiting = 7}, milliseconds(40)}},
      TimePoint(seconds(1)));
  while (g_fixture->m_received.empty()) {
    g_fixture->m_io.run_one();
  }
  const ServerLoad& load = g_fixture->m_received.front();
  cr_assert_eq(load.m_server, HashName("i-1"));
  cr_assert_eq(load.m_load.m_running, 3);
  cr_assert_eq(load.m_load.m_waiting, 7);
  cr_assert_eq(load.m_age, Duration(milliseconds(40)));
}

Test(LoadExchange, LoadsSent_WithinMinInterval_IsNotDue) {
  const TimePoint now(seconds(1));
  g_fixture->m_first.SendLoads({}, now);
  cr_assert_not(g_fixture->m_first.IsDue(now + milliseconds(50)));
  cr_assert(g_fixture->m_first.IsDue(now + milliseconds(60)));
}

// Sending to 30 peers at 100 bytes each every 60 ms would use 50 KB/s.
Test(LoadExchange, ManyPeers_LoadsSent_KeepsToTheBandwidthLimit) {
  const TimePoint now(seconds(1));
  g_fixture->m_first.SetPeers(
      std::vector<VmAddress>(30, g_fixture->m_second_address));
  g_fixture->m_first.SendLoads({}, now);
  cr_assert_not(g_fixture->m_first.IsDue(now + milliseconds(200)));
  cr_assert(g_fixture->m_first.IsDue(now + milliseconds(250)));
}

// Anyone can send datagrams to the port. An invalid message, or one whose
// fields differ in length, must be ignored.
Test(LoadExchange, Datagram_Malformed_IsIgnored) {
  const std::string encoded =
      EncodeLoads({{HashName("i-1"), {.m_running = 1}, {}}});
  for (size_t length = 0; length < encoded.size(); ++length) {
    cr_assert_eq(DecodeLoads(encoded.data(), length).size(), 0, "%zu", length);
  }
  const std::string noise(300, '\xff');
  cr_assert_eq(DecodeLoads(noise.data(), noise.size()).size(), 0);
}

Test(LoadExchange, ManyLoads_Encoded_FitOnePacket) {
  const std::vector<ServerLoad> loads(
      500,
      {HashName("i-1"), {.m_running = 4, .m_waiting = 18}, milliseconds(250)});
  cr_assert_leq(EncodeLoads(loads).size(), 1400);
}

// Another VM reports that a server is full. This VM, which has not sent to it
// for some time, must send a request on the server's object to the other one.
Test(LoadExchange, Server_ReportedFullByAnotherVm_IsAvoided) {
  SteeringFixture fixture;
  fixture.Arrive("/read/x", 5);
  const std::string first = fixture.Last<SendToServer>()->m_instance;
  fixture.End(*fixture.Last<SendToServer>(), AttemptEnd::kAnswered);
  fixture.Pass(seconds(5));
  fixture.m_steering.ApplyPeerLoads(
      {{HashName(first), {.m_running = 2, .m_waiting = 12}, milliseconds(10)}},
      fixture.m_now);
  fixture.Arrive("/read/y", 5);
  cr_assert_str_neq(fixture.Last<SendToServer>()->m_instance.c_str(),
                    first.c_str());
}

// A server needs half a second per request and reported twelve waiting ones
// 300 ms ago. Its two slots cannot have served them yet: a request on its
// object must go to the other server instead of exceeding its target latency.
Test(LoadExchange, SlowServer_RecentLongQueue_IsAvoided) {
  SteeringFixture fixture;
  fixture.Arrive("/read/x", 5);
  const SendToServer first = *fixture.Last<SendToServer>();
  AttemptReport report;
  report.m_end = AttemptEnd::kAnswered;
  report.m_latency = milliseconds(500);
  report.m_load = ReportedLoad{.m_running = 1, .m_waiting = 0, .m_slots = 2};
  fixture.m_steering.Ended(first.m_request, first.m_attempt, report,
                           fixture.m_now);
  fixture.m_steering.ApplyPeerLoads(
      {{HashName(first.m_instance), {.m_running = 2, .m_waiting = 12}, {}}},
      fixture.m_now);
  fixture.Pass(milliseconds(300));
  fixture.Arrive("/read/y", 5);
  cr_assert_str_neq(fixture.Last<SendToServer>()->m_instance.c_str(),
                    first.m_instance.c_str());
}

// A report received from another VM must not replace a newer one that this VM
// received itself.
Test(LoadExchange, OlderLoad_FromAnotherVm_ChangesNothing) {
  ServerState server({"a", "s", {1, 80}, "d1", 2, false, {}}, 0, TimePoint());
  const TimePoint now(seconds(10));
  server.ApplyLoadReport({.m_running = 1}, Duration::zero(), now);
  server.ApplyLoadReport({.m_running = 9}, milliseconds(300),
                         now + milliseconds(50));
  cr_assert_float_eq(*server.RecentLoad(now + milliseconds(50)), 1, 0.001);
}

Test(LoadExchange, Report_SharedOnce_IsNotSharedAgain) {
  SteeringFixture fixture;
  fixture.Arrive("/read/x");
  const SendToServer send = *fixture.Last<SendToServer>();
  AttemptReport report{.m_end = AttemptEnd::kAnswered,
                       .m_load = ReportedLoad{1, 0, 2},
                       .m_latency = milliseconds(100)};
  fixture.m_steering.Ended(send.m_request, send.m_attempt, report,
                           fixture.m_now);
  cr_assert_eq(fixture.m_steering.TakeUnsharedLoads(fixture.m_now).size(), 1);
  cr_assert_eq(fixture.m_steering.TakeUnsharedLoads(fixture.m_now).size(), 0);
}

}  // namespace
}  // namespace sorrelplank
