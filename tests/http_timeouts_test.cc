/// @file http_timeouts_test.cc Clients that take longer than they may.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "serve/clock_func.h"
#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

/// A connection must have been closed by then.
constexpr Duration kCloseTime = seconds(20);

/// A server with short limits, and a client of it.
struct TimeoutsFixture {
  asio::io_context m_io{1};
  uint16_t m_port = FreePort();
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {},
                      [](const HttpRequest&, const HttpReply& reply) {
                        reply(HttpResponse());
                      }};
  tcp::socket m_client{m_io};

  TimeoutsFixture() {
    m_client.connect({asio::ip::make_address("127.0.0.1"), m_port});
    m_client.non_blocking(true);
  }

  /// Sends a byte now and then until the connection is closed, or for
  /// kCloseTime; returns whether it is.
  bool IsClosedWhileSending(const std::string& bytes) {
    const TimePoint by = SteadyNow() + kCloseTime;
    size_t sent = 0;
    while (SteadyNow() < by) {
      std::error_code error;
      if (sent < bytes.size()) {
        asio::write(m_client, asio::buffer(bytes.data() + sent, 1), error);
        ++sent;
      }
      m_io.restart();
      m_io.run_for(milliseconds(100));
      char byte = 0;
      m_client.read_some(asio::buffer(&byte, 1), error);
      if (error && error != asio::error::would_block) {
        return true;
      }
    }
    return false;
  }
};

std::unique_ptr<TimeoutsFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<TimeoutsFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(HttpTimeouts, .init = SetUp, .fini = TearDown, .timeout = 60);

// A byte now and then kept a connection for ever.
Test(HttpTimeouts, HeadArrivesByteByByte_Connection_IsClosed) {
  g_fixture->m_server.SetTimeouts(
      {.m_head = milliseconds(500), .m_idle = seconds(300)});
  cr_expect(g_fixture->IsClosedWhileSending("GET /" + std::string(1000, 'a')));
}

// The operator's limit on idle connections had no effect.
Test(HttpTimeouts, NothingArrives_Connection_IsClosed) {
  g_fixture->m_server.SetTimeouts(
      {.m_head = seconds(300), .m_idle = milliseconds(500)});
  cr_expect(g_fixture->IsClosedWhileSending(""));
}

// Inside the limits a connection is kept.
Test(HttpTimeouts, HeadArrivesInTime_Request_IsAnswered) {
  g_fixture->m_server.SetTimeouts(
      {.m_head = seconds(60), .m_idle = seconds(60)});
  const std::string head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char byte : head) {
    asio::write(g_fixture->m_client, asio::buffer(&byte, 1));
    g_fixture->m_io.restart();
    g_fixture->m_io.run_for(milliseconds(100));
  }
  cr_expect_gt(g_fixture->m_client.available(), 0);
}

}  // namespace
}  // namespace sorrelplank
