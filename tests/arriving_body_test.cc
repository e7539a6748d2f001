/// @file arriving_body_test.cc Memory of requests whose body is still arriving.

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "proxy/decision_log.h"
#include "proxy/proxy_metrics.h"
#include "proxy/request_proxy.h"
#include "tests/free_port_func.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

constexpr size_t kSmallestVm = 160'000'000;
constexpr size_t kLargeBody = 20U << 20U;

/// An entry VM's port for clients.
struct ArrivingBodyFixture {
  asio::io_context m_io{1};
  int m_log_file = open("/dev/null", O_WRONLY);
  DecisionLog m_log{"vm-1", m_log_file};
  ProxyMetrics m_metrics{"vm-1"};
  RequestProxy m_proxy{m_io,
                       MakeSettings(),
                       {.m_request_id = "id", .m_deadline_ms = "deadline"},
                       m_log,
                       m_metrics};
  uint16_t m_port = FreePort();
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {.m_max_body_bytes = 64U << 20U},
                      [this](HttpRequest request, HttpReply reply) {
                        m_proxy.Accept(std::move(request), std::move(reply));
                      }};
  std::list<tcp::socket> m_clients;

  ArrivingBodyFixture() {
    m_proxy.Bodies().SetMemory(kSmallestVm);
    m_server.SetBodyAdmission([this](HttpRequest& head, size_t body_bytes) {
      return m_proxy.AdmitBody(head, body_bytes);
    });
  }
  ~ArrivingBodyFixture() { close(m_log_file); }

  /// Sends the head of a request on a new connection.
  tcp::socket& Begin(const std::string& body_field) {
    tcp::socket& client = m_clients.emplace_back(m_io);
    client.connect({asio::ip::make_address("127.0.0.1"), m_port});
    Send(client,
         "POST / HTTP/1.1\r\nHost: h\r\nid: r\r\n" + body_field + "\r\n\r\n");
    return client;
  }
  tcp::socket& Announce(size_t bytes) {
    return Begin("Content-Length: " + std::to_string(bytes));
  }
  void Send(tcp::socket& client, const std::string& bytes) {
    asio::async_write(client, asio::buffer(bytes),
                      [](std::error_code error, size_t) {
                        cr_expect_not(error, "%s", error.message().c_str());
                      });
    Run();
  }
  void Run() {
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(30));
  }
  /// What the client has received so far.
  std::string Received(tcp::socket& client) {
    std::string text(client.available(), ' ');
    asio::read(client, asio::buffer(text));
    return text;
  }
  size_t Held() { return m_proxy.Bodies().Held(); }
};

std::unique_ptr<ArrivingBodyFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ArrivingBodyFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(ArrivingBody, .init = SetUp, .fini = TearDown);

// Bodies that arrived together filled a VM's memory, and its process was killed
// with the requests of others. What does not fit is refused by its length.
Test(ArrivingBody, TogetherOverTheMemory_LaterOnes_AreRefusedAtOnce) {
  for (int client = 0; client < 5; ++client) {
    const std::string received =
        g_fixture->Received(g_fixture->Announce(kLargeBody));
    const bool is_refused = received.find(" 503 ") != std::string::npos;
    cr_expect_eq(is_refused, client >= 2, "client %d: %s", client,
                 received.c_str());
    cr_expect_eq(received.find("Retry-After") != std::string::npos, is_refused);
    cr_expect_leq(g_fixture->Held(), g_fixture->m_proxy.Bodies().Bound());
  }
}

// The same for a body without a length, which is refused while it arrives. The
// client sends on and gets the refusal all the same.
Test(ArrivingBody, ChunksOverTheMemory_ClientSendsOn_GetsTheRefusal) {
  g_fixture->Announce(kLargeBody);
  g_fixture->Announce(kLargeBody);
  const size_t held = g_fixture->Held();
  tcp::socket& client = g_fixture->Begin("Transfer-Encoding: chunked");
  const std::string chunk = "100000\r\n" + std::string(1U << 20U, 'x') + "\r\n";
  for (int sent = 0; sent < 16; ++sent) {
    g_fixture->Send(client, chunk);
    cr_expect_leq(g_fixture->Held(), g_fixture->m_proxy.Bodies().Bound());
  }
  const std::string received = g_fixture->Received(client);
  cr_expect_neq(received.find(" 503 "), std::string::npos, "%s",
                received.c_str());
  cr_expect_eq(g_fixture->Held(), held);
}

// A client that took some seconds to send a refused body was cut off before it
// read the refusal, and could not tell whether the request had run.
Test(ArrivingBody, RefusedBodyIsSentSlowly_Client_GetsTheRefusal) {
  tcp::socket& client = g_fixture->Announce(60U << 20U);
  for (int step = 0; step < 10; ++step) {
    g_fixture->Send(client, std::string(1000, 'x'));
    g_fixture->m_io.run_for(std::chrono::milliseconds(400));
  }
  const std::string received = g_fixture->Received(client);
  cr_expect_neq(received.find(" 503 "), std::string::npos, "%s",
                received.c_str());
}

// A body that fits is counted once, from its head to the end of the request.
Test(ArrivingBody, BodyFits_Memory_IsCountedOnce) {
  tcp::socket& client = g_fixture->Announce(kLargeBody);
  const size_t held = g_fixture->Held();
  cr_expect_geq(held, kLargeBody);
  g_fixture->Send(client, std::string(kLargeBody, 'x'));
  cr_expect_leq(g_fixture->Held(), held);
}

// A client that leaves while its body arrives must not keep memory reserved.
Test(ArrivingBody, ClientLeaves_Memory_IsReleased) {
  tcp::socket& client = g_fixture->Announce(kLargeBody);
  g_fixture->Send(client, std::string(1000, 'x'));
  client.close();
  g_fixture->Run();
  cr_expect_eq(g_fixture->Held(), 0);
}

// A small refused body is dropped, and its connection is kept.
Test(ArrivingBody, SmallBodyRefused_Connection_ServesTheNextRequest) {
  g_fixture->m_proxy.Bodies().SetMemory(10'000);
  tcp::socket& client = g_fixture->Announce(2000);
  g_fixture->Send(client, std::string(2000, 'x'));
  g_fixture->Send(client, "GET / HTTP/1.1\r\nHost: h\r\nid: r\r\n\r\n");
  const std::string received = g_fixture->Received(client);
  cr_expect_eq(received.find("Connection: close"), std::string::npos, "%s",
               received.c_str());
  cr_expect_neq(received.find("no_memory"), received.rfind("no_memory"), "%s",
                received.c_str());
}

}  // namespace
}  // namespace sorrelplank
