/// @file http_server_test.cc The server that clients connect to.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

/// More than the socket buffers of both sides hold.
constexpr size_t kLongBody = 32U << 20U;

/// A server that answers everything with a long body, and a client.
struct HttpServerFixture {
  asio::io_context m_io{1};
  uint16_t m_port = FreePort();
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {},
                      [](const HttpRequest&, const HttpReply& reply) {
                        HttpResponse response;
                        response.m_status = 200;
                        response.m_body.assign(kLongBody, 'x');
                        response.m_close = true;
                        reply(std::move(response));
                      }};
  asio::ip::tcp::socket m_client{m_io};

  asio::ip::tcp::endpoint Address() const {
    return {asio::ip::make_address("127.0.0.1"), m_port};
  }

  void Ask() {
    m_client.connect(Address());
    asio::write(m_client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }

  /// Runs the server until nothing happens for a moment.
  void RunUntilIdle() {
    // It stops by itself whenever nothing is open.
    m_io.restart();
    while (m_io.run_one_for(std::chrono::milliseconds(200)) > 0) {
    }
  }

  /// Reads until the server closes; bytes that came.
  size_t ReadAll() {
    size_t total = 0;
    std::string buffer(1U << 16U, ' ');
    std::error_code error;
    while (!error) {
      m_io.poll();
      m_client.non_blocking(true);
      const size_t read = m_client.read_some(asio::buffer(buffer), error);
      total += read;
      if (error == asio::error::would_block) {
        error.clear();
      }
    }
    return total;
  }
};

std::unique_ptr<HttpServerFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<HttpServerFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(HttpServer, .init = SetUp, .fini = TearDown);

// A VM is stopping. It handed its last answer, a long download, to the server,
// and a slow client has read half of it. A process that ended now would cut
// the answer: it must be able to see that bytes are left.
Test(HttpServer, LongAnswer_ClientReadsSlowly_CountsAsUnwritten) {
  g_fixture->Ask();
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.Unwritten(), 1);
  cr_assert_gt(g_fixture->ReadAll(), kLongBody);
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.Unwritten(), 0);
}

// A VM that knows no routing table closed its port and has one now. Clients
// that were turned away find it open again.
Test(HttpServer, Stopped_Reopened_AnswersAgain) {
  g_fixture->m_server.Stop();
  g_fixture->RunUntilIdle();
  std::error_code refused;
  g_fixture->m_client.connect(g_fixture->Address(), refused);
  cr_assert(refused);
  g_fixture->m_client.close();
  g_fixture->m_server.Reopen(
      [](const std::exception_ptr&) { cr_assert_fail("cannot listen"); });
  g_fixture->RunUntilIdle();
  g_fixture->Ask();
  cr_assert_gt(g_fixture->ReadAll(), kLongBody);
}

// The client leaves in the middle. Nothing is left to wait for.
Test(HttpServer, LongAnswer_ClientLeaves_NothingIsLeft) {
  g_fixture->Ask();
  g_fixture->RunUntilIdle();
  g_fixture->m_client.close();
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.Unwritten(), 0);
}

}  // namespace
}  // namespace sorrelplank
