/// @file endless_server_test.cc Backend servers that never stop sending.

#include "tests/endless_server.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "proxy/arriving_responses.h"
#include "proxy/body_budget.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"
#include "proxy/server_reply_type.h"
#include "serve/clock_func.h"

namespace sorrelplank {
namespace {

constexpr size_t kMaxResponseBytes = 1U << 20U;
/// An attempt at an endless server must have ended by then.
constexpr Duration kEndTime = seconds(5);

const EndlessBytes kEndless[] = {
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"responses to another request", "",
     "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nab"},
    {"a response to another request, a body",
     "HTTP/1.1 200 OK\r\nid: other\r\n\r\n", "abcdefgh"},
    {"a body until the connection closes",
     "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\n\r\n", "abcdefgh"},
    {"chunks",
     "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n"
     "\r\n",
     "1\r\na\r\n"},
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n"
     "\r\n1;",
     "abcdefgh"},
    {"trailers",
     "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n"
     "\r\n0\r\n",
     "a: b\r\n"},
    {"fields of a head", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
    {"a field of a head", "HTTP/1.1 200 OK\r\na: ", "abcdefgh"},
    {"a status line", "HTTP/1.1 200 ", "abcdefgh"},
    {"no HTTP", "", "abcdefgh", false}};

ServerRequest MakeRequest(size_t max_response_bytes) {
  ServerRequest request;
  request.m_bytes = "GET / HTTP/1.1\r\nid: 1\r\n\r\n";
  request.m_request_id = "1";
  request.m_request_id_name = "id";
  request.m_max_response_bytes = max_response_bytes;
  return request;
}

/// An endless server and a connection to it.
struct EndlessFixture {
  asio::io_context m_io{1};
  std::unique_ptr<EndlessServer> m_server;
  std::shared_ptr<ServerConnection> m_connection;
  std::optional<ServerReply> m_reply;

  void Start(const EndlessBytes& bytes) {
    m_server = std::make_unique<EndlessServer>(m_io, bytes);
    m_connection = std::make_shared<ServerConnection>(m_io, m_server->Address(),
                                                      [](ServerConnection*) {});
    m_reply.reset();
    m_connection->Send(
        MakeRequest(kMaxResponseBytes), seconds(1),
        [this](ServerReply reply) { m_reply = std::move(reply); });
  }

  /// Until the reply, or for kEndTime.
  void RunUntilReply() {
    const TimePoint by = SteadyNow() + kEndTime;
    m_io.restart();
    while (!m_reply && SteadyNow() < by) {
      m_io.run_one_for(milliseconds(10));
    }
  }
};

std::unique_ptr<EndlessFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<EndlessFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(EndlessServer, .init = SetUp, .fini = TearDown, .timeout = 120);

// A server sends bytes that are no response, without end: each attempt ends by
// itself, whatever the bytes are, and its connection is closed.
Test(EndlessServer, BytesWithoutEnd_EachKind_AttemptEnds) {
  for (const EndlessBytes& bytes : kEndless) {
    g_fixture->Start(bytes);
    g_fixture->RunUntilReply();
    cr_expect(g_fixture->m_reply.has_value(), "%s", bytes.m_what);
    if (g_fixture->m_reply) {
      const ReplyEnd end =
          bytes.m_is_http ? ReplyEnd::kOversized : ReplyEnd::kLost;
      cr_expect_eq(g_fixture->m_reply->m_end, end, "%s", bytes.m_what);
      cr_expect_not(g_fixture->m_connection->IsReusable(), "%s", bytes.m_what);
    }
    g_fixture->m_connection->Close();
  }
}

// Several servers send bodies without end, to more attempts than the VM has
// memory for: the VM was ended for its memory.
Test(EndlessServer, BodiesWithoutEnd_ManyAttempts_HeldBytesStayUnderTheBound) {
  constexpr size_t kAttempts = 32;
  BodyBudget budget;
  budget.SetMemory(160'000'000);
  ServerPool pool(g_fixture->m_io, budget);
  const EndlessBytes body{"", "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\n\r\n",
                          "abcdefgh"};
  EndlessServer server(g_fixture->m_io, body);
  size_t ended = 0;
  for (size_t attempt = 1; attempt <= kAttempts; ++attempt) {
    ServerRequest send = MakeRequest(16U << 20U);
    send.m_held = budget.ForResponse();
    pool.Send(AttemptId(attempt),
              {.m_instance = "i-1", .m_address = server.Address()},
              std::move(send), [&ended](const ServerReply& reply) {
                cr_expect_eq(reply.m_end, ReplyEnd::kOversized);
                cr_expect_eq(reply.m_response.m_body.size(), 0);
                ++ended;
              });
  }
  size_t peak = 0;
  const TimePoint by = SteadyNow() + kEndTime;
  while (ended < kAttempts && SteadyNow() < by) {
    g_fixture->m_io.run_one_for(milliseconds(10));
    peak = std::max(peak, budget.Held());
  }
  cr_expect_eq(ended, kAttempts);
  cr_expect_leq(peak, budget.Bound(), "%zu of %zu bytes", peak, budget.Bound());
  cr_expect_eq(budget.Held(), 0);
}

// After one attempt at such a server, the others read as much again each, and
// so did every later one.
Test(EndlessServer, OneAttemptWasOversized_LaterAttempts_EndSooner) {
  BodyBudget budget;
  ServerPool pool(g_fixture->m_io, budget);
  EndlessServer server(
      g_fixture->m_io,
      {"", "HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\n\r\n", "abcdefgh"});
  size_t peak = 0;
  for (uint64_t attempt = 1; attempt <= 2; ++attempt) {
    bool has_ended = false;
    ServerRequest send = MakeRequest(16U << 20U);
    send.m_held = budget.ForResponse();
    pool.Send(AttemptId(attempt),
              {.m_instance = "i-1", .m_address = server.Address()},
              std::move(send),
              [&has_ended](const ServerReply&) { has_ended = true; });
    const TimePoint by = SteadyNow() + kEndTime;
    peak = 0;
    while (!has_ended && SteadyNow() < by) {
      g_fixture->m_io.run_one_for(milliseconds(10));
      peak = std::max(peak, budget.Held());
    }
    cr_expect(has_ended);
  }
  cr_expect_leq(peak, 2U << 20U, "%zu bytes", peak);
}

// The store, relays and operators' commands are read by another client.
Test(EndlessServer, BytesWithoutEnd_FetchOfAVm_EndsWithLittleMemory) {
  for (const EndlessBytes& bytes : kEndless) {
    EndlessServer server(g_fixture->m_io, bytes);
    HttpClient client(g_fixture->m_io);
    HttpFetch fetch;
    fetch.m_url =
        "http://127.0.0.1:" + std::to_string(server.Address().m_port) + "/";
    fetch.m_timeout = milliseconds(800);
    std::optional<HttpResult> result;
    client.Start(std::move(fetch),
                 [&result](HttpResult end) { result = std::move(end); });
    const TimePoint by = SteadyNow() + kEndTime;
    while (!result && SteadyNow() < by) {
      g_fixture->m_io.run_one_for(milliseconds(10));
    }
    cr_assert(result.has_value(), "%s", bytes.m_what);
    size_t head_bytes = 0;
    for (const auto& [name, value] : result->m_response.m_headers) {
      head_bytes += name.size() + value.size() + sizeof(name) + sizeof(value);
    }
    cr_expect_leq(head_bytes, 1U << 20U, "%s: %zu bytes of fields",
                  bytes.m_what, head_bytes);
  }
}

// The largest response gives way, a small one never.
Test(ArrivingResponses, BoundExceeded_Responses_LargestIsNamed) {
  constexpr size_t kBound = 1'000'000;
  ArrivingResponses arriving;
  cr_expect_not(arriving.Update(AttemptId(1), 600'000, kBound));
  cr_expect_not(arriving.Update(AttemptId(2), 300'000, kBound));
  cr_expect_eq(arriving.Update(AttemptId(3), 200'000, kBound), AttemptId(1));
  arriving.Remove(AttemptId(1));
  cr_expect_eq(arriving.Bytes(), 500'000);
  cr_expect_not(arriving.Update(AttemptId(3), 700'000, kBound));
  cr_expect_not(arriving.Update(AttemptId(3), 2'000'000, 0));
  arriving.Remove(AttemptId(3));
  arriving.Remove(AttemptId(2));
  for (uint64_t attempt = 1; attempt <= 100; ++attempt) {
    cr_expect_not(arriving.Update(AttemptId(attempt), 50'000, kBound));
  }
}

}  // namespace
}  // namespace sorrelplank
