/// @file server_connection_test.cc Handling of faulty server responses.

#include "proxy/server_connection.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/proxy_header_names_type.h"
#include "proxy/reply_classifier_func.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

/// Reaction of the scripted server to one request.
struct Step {
  std::string m_answer;
  bool m_closes = false;
  bool m_resets = false;
};

ProxyHeaderNames Names() {
  return {.m_request_id = "id",
          .m_deadline_ms = "deadline",
          .m_expected_instance = "expect",
          .m_object = "object",
          .m_stamp = "stamp",
          .m_not_run = "not-run",
          .m_load = "load",
          .m_instance = "instance"};
}

std::string Answer(int status,
                   const std::string& id,
                   const std::string& fields,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nid: " + id + "\r\n" +
         fields + "content-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// A scripted server on loopback and one connection to it.
struct ConnectionFixture {
  asio::io_context m_io{1};
  tcp::acceptor m_acceptor{m_io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket m_peer{m_io};
  std::vector<Step> m_script;
  size_t m_next_step = 0;
  std::array<char, 4096> m_buffer{};
  bool m_idle_ended = false;
  std::shared_ptr<ServerConnection> m_connection;
  std::optional<ServerReply> m_reply;

  ConnectionFixture() {
    const uint16_t port = m_acceptor.local_endpoint().port();
    m_connection = std::make_shared<ServerConnection>(
        m_io, VmAddress{asio::ip::address_v4::loopback().to_uint(), port},
        [this](ServerConnection*) { m_idle_ended = true; });
    m_acceptor.async_accept(m_peer, [this](std::error_code error) {
      if (!error) {
        Serve();
      }
    });
  }

  void Serve() {
    m_peer.async_read_some(asio::buffer(m_buffer),
                           [this](std::error_code error, size_t) {
                             if (!error && m_next_step < m_script.size()) {
                               RunStep(m_script[m_next_step++]);
                             }
                           });
  }

  void RunStep(const Step& step) {
    asio::write(m_peer, asio::buffer(step.m_answer));
    if (step.m_resets) {
      m_peer.set_option(asio::socket_base::linger(true, 0));
    }
    if (step.m_closes || step.m_resets) {
      m_peer.close();
      return;
    }
    Serve();
  }

  AttemptEnd Send(const std::string& id) {
    m_reply.reset();
    ServerRequest send;
    send.m_bytes = "GET / HTTP/1.1\r\nid: " + id + "\r\n\r\n";
    send.m_request_id = id;
    send.m_request_id_name = "id";
    send.m_max_response_bytes = 1000;
    m_connection->Send(std::move(send), seconds(1), [this](ServerReply reply) {
      m_reply = std::move(reply);
    });
    RunUntil([this] { return m_reply.has_value(); });
    return ClassifyReply(*m_reply, Names()).m_end;
  }

  template <typename Condition>
  void RunUntil(const Condition& is_done) {
    m_io.restart();
    while (!is_done()) {
      m_io.run_one();
    }
  }
};

std::unique_ptr<ConnectionFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ConnectionFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(ServerConnection, .init = SetUp, .fini = TearDown);

Test(ServerConnection, WholeAnswers_TwoRequests_UseOneConnection) {
  g_fixture->m_script = {{Answer(200, "1", "stamp: s\r\n", "one")},
                         {Answer(200, "2", "stamp: s\r\n", "two")}};
  cr_assert_eq(g_fixture->Send("1"), AttemptEnd::kAnswered);
  cr_assert(g_fixture->m_connection->IsReusable());
  cr_assert_eq(g_fixture->Send("2"), AttemptEnd::kAnswered);
  cr_assert_str_eq(g_fixture->m_reply->m_response.m_body.c_str(), "two");
  cr_assert(g_fixture->m_reply->m_is_reused_connection);
}

// The server answers the first request twice, the second time when the response
// to the next request is expected. The next request must get its own response,
// which follows, and never the duplicate.
Test(ServerConnection, LateSecondAnswer_NextRequest_GetsItsOwn) {
  g_fixture->m_script = {{Answer(200, "1", "stamp: s\r\n", "one")},
                         {Answer(200, "1", "stamp: s\r\n", "one") +
                          Answer(200, "2", "stamp: s\r\n", "two")}};
  g_fixture->Send("1");
  cr_assert_eq(g_fixture->Send("2"), AttemptEnd::kAnswered);
  cr_assert_str_eq(g_fixture->m_reply->m_response.m_body.c_str(), "two");
  cr_assert_not(g_fixture->m_connection->IsReusable());
}

// Unsolicited bytes arrive on an idle connection.
Test(ServerConnection, BytesWhileIdle_Unsolicited_ConnectionEnds) {
  g_fixture->m_script = {{Answer(200, "1", "stamp: s\r\n", "one")}};
  g_fixture->Send("1");
  asio::write(g_fixture->m_peer, asio::buffer(std::string("HTTP/1.1 200")));
  g_fixture->RunUntil([] { return g_fixture->m_idle_ended; });
  cr_assert(g_fixture->m_idle_ended);
}

Test(ServerConnection, BytesBehindTheAnswer_SameRead_AreNotUsed) {
  g_fixture->m_script = {{Answer(200, "1", "stamp: s\r\n", "one") + "garbage"}};
  cr_assert_eq(g_fixture->Send("1"), AttemptEnd::kAnswered);
  cr_assert_str_eq(g_fixture->m_reply->m_response.m_body.c_str(), "one");
  cr_assert_not(g_fixture->m_connection->IsReusable());
}

/// A reply and its expected classification.
struct EndCase {
  const char* m_what;
  Step m_step;
  AttemptEnd m_end;
};

// Only a response of the server itself proves that a request did not run.
Test(ServerConnection, EachReplyKind_OfOneRequest_IsClassified) {
  const EndCase cases[] = {
      {"rejected",
       {Answer(503, "1", "not-run: 1\r\n", "")},
       AttemptEnd::kRejected},
      {"other instance",
       {Answer(421, "1", "instance: i\r\n", "")},
       AttemptEnd::kWrongInstance},
      {"error",
       {Answer(500, "1", "stamp: s\r\n", "x")},
       AttemptEnd::kServerError},
      {"no stamp", {Answer(200, "1", "", "x")}, AttemptEnd::kLost},
      {"closed without answer", {"", true}, AttemptEnd::kLost},
      {"reset without answer", {"", false, true}, AttemptEnd::kLost},
      {"cut short",
       {"HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\ncontent-length: 9\r\n\r\nab",
        true},
       AttemptEnd::kLost},
      {"no length, closed",
       {"HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\n\r\nabc", true},
       AttemptEnd::kAnswered},
      {"no length, reset",
       {"HTTP/1.1 200 OK\r\nid: 1\r\nstamp: s\r\n\r\nabc", false, true},
       AttemptEnd::kLost},
      {"not HTTP", {"hello", true}, AttemptEnd::kLost},
      {"too large",
       {Answer(200, "1", "stamp: s\r\n", std::string(2000, 'x'))},
       AttemptEnd::kLost}};
  for (const EndCase& one : cases) {
    g_fixture = std::make_unique<ConnectionFixture>();
    g_fixture->m_script = {one.m_step};
    cr_assert_eq(g_fixture->Send("1"), one.m_end, "%s", one.m_what);
  }
}

Test(ServerConnection, NobodyListens_Send_IsNotSent) {
  g_fixture->m_acceptor.close();
  cr_assert_eq(g_fixture->Send("1"), AttemptEnd::kNotSent);
}

Test(ServerConnection, Load_ThreeNumbers_IsRead) {
  const auto load = ParseLoad("3,0,8");
  cr_assert(load.has_value());
  cr_assert_eq(load->m_running, 3);
  cr_assert_eq(load->m_slots, 8);
  cr_assert_not(load->m_work_percent.has_value());
}

// Guards against ignoring the loads of servers that report more than three
// numbers.
Test(ServerConnection, Load_MoreThanThreeNumbers_IsRead) {
  for (const char* text : {"3,1,8,250", "3,1,8,250,7", "3,1,8,250,7,0"}) {
    const auto load = ParseLoad(text);
    cr_assert(load.has_value(), "%s", text);
    cr_expect_eq(load->m_running, 3);
    cr_expect_eq(load->m_waiting, 1);
    cr_expect_eq(load->m_slots, 8);
    cr_expect_eq(load->m_work_percent, 250U);
  }
}

Test(ServerConnection, Load_AnythingElse_IsRefused) {
  for (const char* bad :
       {"", "3", "3,0", "a,b,c", "-1,0,8", "3, 0,8", "3,0,8,", "3,0,8,,1",
        "3,0,8,x", "3,0,8,-1", "3,0,8,1x", ",0,8", "3,,8,1", "3;0;8;1",
        "3,0,8,4294967296", "3,0,8,100,4294967296", "99999999999,0,8,100"}) {
    cr_expect_not(ParseLoad(bad).has_value(), "%s", bad);
  }
}

}  // namespace
}  // namespace sorrelplank
