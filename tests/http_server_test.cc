/// @file http_server_test.cc Unwritten responses and reopening of the HTTP
/// server.

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <exception>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

/// Exceeds the socket buffers of both sides.
constexpr size_t kLongBodyBytes = 32U << 20U;

/// A server that responds to every request with a body, long by default, and a
/// client.
struct HttpServerFixture {
  asio::io_context m_io{1};
  size_t m_body_bytes = kLongBodyBytes;
  /// Expires with the response's m_until_written.
  std::weak_ptr<void> m_held;
  uint16_t m_port = FreePort();
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {},
                      [this](const HttpRequest&, const HttpReply& reply) {
                        HttpResponse response;
                        response.m_status = 200;
                        response.m_body.assign(m_body_bytes, 'x');
                        response.m_close = true;
                        const auto held = std::make_shared<int>(0);
                        m_held = held;
                        response.m_until_written = held;
                        reply(std::move(response));
                      }};
  asio::ip::tcp::socket m_client{m_io};

  asio::ip::tcp::endpoint Address() const {
    return {asio::ip::make_address("127.0.0.1"), m_port};
  }

  void SendRequest() {
    m_client.connect(Address());
    asio::write(m_client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }

  /// Runs the server until it is idle for 200 ms.
  void RunUntilIdle() {
    // The io_context stops by itself when it has no work left.
    m_io.restart();
    while (m_io.run_one_for(std::chrono::milliseconds(200)) > 0) {
    }
  }

  /// Reads until the server closes the connection; returns the bytes read.
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

// A stopping VM has passed its last response, a long download, to the server,
// and a slow client has read half of it. Exiting now would truncate the
// response, so the process must be able to see that bytes are unwritten.
Test(HttpServer, LongResponse_ClientReadsSlowly_CountsAsUnwritten) {
  g_fixture->SendRequest();
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.UnwrittenResponses(), 1);
  cr_assert_gt(g_fixture->ReadAll(), kLongBodyBytes);
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.UnwrittenResponses(), 0);
}

// Guards against releasing the memory budget of a response that a slow client
// has not read yet, and against keeping that of a client that has left.
Test(HttpServer, LongResponse_HeldMemory_IsReleasedWithTheResponse) {
  g_fixture->SendRequest();
  g_fixture->RunUntilIdle();
  cr_assert_not(g_fixture->m_held.expired());
  g_fixture->ReadAll();
  g_fixture->RunUntilIdle();
  cr_assert(g_fixture->m_held.expired());
  g_fixture->m_client.close();
  g_fixture->SendRequest();
  g_fixture->RunUntilIdle();
  cr_assert_not(g_fixture->m_held.expired());
  g_fixture->m_client.close();
  g_fixture->RunUntilIdle();
  cr_assert(g_fixture->m_held.expired());
}

// A VM without a routing table closes its port, and reopens it when it has one.
// Clients that were refused can then connect again.
Test(HttpServer, Stopped_Reopened_RespondsAgain) {
  g_fixture->m_server.Stop();
  g_fixture->RunUntilIdle();
  std::error_code refused;
  g_fixture->m_client.connect(g_fixture->Address(), refused);
  cr_assert(refused);
  g_fixture->m_client.close();
  g_fixture->m_server.Reopen(
      [](const std::exception_ptr&) { cr_assert_fail("cannot listen"); });
  g_fixture->RunUntilIdle();
  g_fixture->SendRequest();
  cr_assert_gt(g_fixture->ReadAll(), kLongBodyBytes);
}

// A VM gets its routing table just after it has decided to close its port. The
// port stayed closed, because the decision was carried out later.
Test(HttpServer, ReopenedBeforeTheStopEnds_Server_KeepsListening) {
  g_fixture->m_body_bytes = 10;
  g_fixture->m_server.Stop();
  g_fixture->m_server.Reopen(
      [](const std::exception_ptr&) { cr_assert_fail("cannot listen"); });
  g_fixture->RunUntilIdle();
  g_fixture->SendRequest();
  cr_assert_gt(g_fixture->ReadAll(), 10);
}

// A planned stop while the event loop is busy: connections that the kernel had
// accepted were reset, with whole requests on them.
Test(HttpServer, Stop_ConnectionsWaitToBeAccepted_AllAreAnswered) {
  HttpServerFixture& fixture = *g_fixture;
  fixture.m_body_bytes = 10;
  std::vector<asio::ip::tcp::socket> clients;
  for (int client = 0; client < 5; ++client) {
    clients.emplace_back(fixture.m_io).connect(fixture.Address());
    asio::write(clients.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  fixture.m_server.Stop();
  fixture.RunUntilIdle();
  for (asio::ip::tcp::socket& client : clients) {
    std::string response;
    std::error_code error;
    asio::read(client, asio::dynamic_buffer(response), error);
    cr_assert_eq(error, asio::error::eof, "%s", error.message().c_str());
    cr_assert_neq(response.find("200 OK"), std::string::npos);
  }
  asio::ip::tcp::socket late(fixture.m_io);
  std::error_code error;
  late.connect(fixture.Address(), error);
  cr_assert_eq(error, asio::error::connection_refused);
}

// The client disconnects during the response. Nothing is left to wait for.
Test(HttpServer, LongResponse_ClientDisconnects_NothingUnwritten) {
  g_fixture->SendRequest();
  g_fixture->RunUntilIdle();
  g_fixture->m_client.close();
  g_fixture->RunUntilIdle();
  cr_assert_eq(g_fixture->m_server.UnwrittenResponses(), 0);
}

/// Resident memory of this process.
size_t ResidentBytes() {
  size_t pages = 0;
  size_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident_pages;
  return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// A caller sends a body within the limit in chunks of a byte. The server holds
// a record for each of them, and one caller took a VM over its memory.
Test(HttpServer, BodyInSmallChunks_WithinTheLimit_TakesLittleMemory) {
  constexpr size_t kMaxGrowth = 4 * HttpLimits().m_max_body_bytes;
  g_fixture->m_client.connect(g_fixture->Address());
  asio::write(g_fixture->m_client,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n")));
  g_fixture->m_client.non_blocking(true);
  std::string chunks;
  while (chunks.size() < 6 * HttpLimits().m_max_body_bytes) {
    chunks += "1\r\na\r\n";
  }
  const size_t before = ResidentBytes();
  size_t sent = 0;
  std::error_code error;
  while (sent < chunks.size() &&
         (!error || error == asio::error::would_block)) {
    sent += g_fixture->m_client.write_some(
        asio::buffer(chunks.data() + sent, chunks.size() - sent), error);
    g_fixture->m_io.poll();
  }
  g_fixture->RunUntilIdle();
  const size_t after = ResidentBytes();
  cr_expect_leq(after, before + kMaxGrowth, "%zu bytes more", after - before);
}

}  // namespace
}  // namespace sorrelplank
