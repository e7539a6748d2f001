/// @file http_capacity_test.cc Bound on the connections of an HTTP server.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

constexpr size_t kMaxConnections = 4;
constexpr size_t kClients = 10;

/// A server that answers no request, and its clients.
struct CapacityFixture {
  asio::io_context m_io{1};
  uint16_t m_port = FreePort();
  std::vector<HttpReply> m_unanswered;
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {},
                      [this](const HttpRequest&, const HttpReply& reply) {
                        m_unanswered.push_back(reply);
                      }};
  std::list<tcp::socket> m_clients;

  CapacityFixture() {
    m_server.SetCapacity({.m_max_connections = kMaxConnections});
  }

  void Connect(const std::string& bytes) {
    tcp::socket& client = m_clients.emplace_back(m_io);
    client.connect({asio::ip::make_address("127.0.0.1"), m_port});
    client.non_blocking(true);
    std::error_code ignored;
    asio::write(client, asio::buffer(bytes), ignored);
    m_io.restart();
    m_io.run_for(milliseconds(20));
  }

  /// Clients that have been closed, in their order.
  std::vector<bool> AreClosed() {
    std::vector<bool> closed;
    for (tcp::socket& client : m_clients) {
      char byte = 0;
      std::error_code error;
      client.read_some(asio::buffer(&byte, 1), error);
      closed.push_back(error && error != asio::error::would_block);
    }
    return closed;
  }
};

std::unique_ptr<CapacityFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<CapacityFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(HttpCapacity, .init = SetUp, .fini = TearDown);

// Beyond the bound newcomers were kept if all requests were being served.
Test(HttpCapacity, AllRequestsAreServed_Newcomers_AreClosed) {
  for (size_t client = 0; client < kClients; ++client) {
    g_fixture->Connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  const std::vector<bool> closed = g_fixture->AreClosed();
  for (size_t client = 0; client < kClients; ++client) {
    cr_expect_eq(closed[client], client >= kMaxConnections, "client %zu",
                 client);
  }
}

// Clients that stay connected shut newcomers out.
Test(HttpCapacity, ConnectionsAreIdle_Newcomers_ReplaceTheOldest) {
  for (size_t client = 0; client < kClients; ++client) {
    g_fixture->Connect(client == 0 ? "GET / HTTP/1.1\r\nHost: h\r\n\r\n" : "");
  }
  const std::vector<bool> closed = g_fixture->AreClosed();
  for (size_t client = 0; client < kClients; ++client) {
    const bool is_kept = client == 0 || client > kClients - kMaxConnections;
    cr_expect_eq(closed[client], !is_kept, "client %zu", client);
  }
}

}  // namespace
}  // namespace sorrelplank
