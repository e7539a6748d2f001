/// @file endless_server_test.cc Backend servers that never stop sending.

#include "tests/endless_server.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/server_connection.h"
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
    ServerRequest send;
    send.m_bytes = "GET / HTTP/1.1\r\nid: 1\r\n\r\n";
    send.m_request_id = "1";
    send.m_request_id_name = "id";
    send.m_max_response_bytes = kMaxResponseBytes;
    m_connection->Send(std::move(send), seconds(1), [this](ServerReply reply) {
      m_reply = std::move(reply);
    });
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

}  // namespace
}  // namespace sorrelplank
