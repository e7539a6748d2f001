/// @file invalid_response_test.cc Responses whose head is not valid HTTP.

#include <criterion/criterion.h>

#include <array>
#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "proxy/server_connection.h"
#include "proxy/server_reply_type.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

constexpr const char* kFields = "id: 1\r\nstamp: s\r\n";

/// Answers each connection with fixed bytes and closes it.
class FixedServer {
 public:
  explicit FixedServer(asio::io_context& io)
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  VmAddress Address() const {
    return {asio::ip::address_v4::loopback().to_uint(),
            m_acceptor.local_endpoint().port()};
  }
  void SetAnswer(std::string answer) { m_answer = std::move(answer); }

 private:
  struct Peer {
    explicit Peer(tcp::socket socket) : m_socket(std::move(socket)) {}
    tcp::socket m_socket;
    std::array<char, 4096> m_request{};
  };

  void Accept() {
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error) {
        return;
      }
      const auto peer = std::make_shared<Peer>(std::move(socket));
      peer->m_socket.async_read_some(
          asio::buffer(peer->m_request),
          [this, peer](std::error_code failure, size_t) {
            if (!failure) {
              asio::write(peer->m_socket, asio::buffer(m_answer), failure);
            }
          });
      Accept();
    });
  }

  tcp::acceptor m_acceptor;
  std::string m_answer;
};

/// Reads the server's answers by both clients.
struct InvalidResponseFixture {
  asio::io_context m_io{1};
  FixedServer m_server{m_io};

  /// How a send to a backend server, or to another VM, ends.
  ReplyEnd Send(const std::string& answer) {
    m_server.SetAnswer(answer);
    const auto connection = std::make_shared<ServerConnection>(
        m_io, m_server.Address(), [](ServerConnection*) {});
    ServerRequest request;
    request.m_bytes = "GET / HTTP/1.1\r\nid: 1\r\n\r\n";
    request.m_request_id = "1";
    request.m_request_id_name = "id";
    request.m_max_response_bytes = 1000;
    std::optional<ServerReply> reply;
    connection->Send(std::move(request), seconds(5),
                     [&reply](ServerReply end) { reply = std::move(end); });
    m_io.restart();
    while (!reply) {
      m_io.run_one();
    }
    connection->Close();
    return reply->m_end;
  }

  /// How a call to the store, a relay or an operator's interface ends.
  FetchOutcome Fetch(const std::string& answer) {
    m_server.SetAnswer(answer);
    HttpClient client(m_io);
    HttpFetch fetch;
    fetch.m_url =
        "http://127.0.0.1:" + std::to_string(m_server.Address().m_port) + "/";
    fetch.m_fresh_connection = true;
    std::optional<HttpResult> result;
    client.Start(std::move(fetch),
                 [&result](HttpResult end) { result = std::move(end); });
    m_io.restart();
    while (!result) {
      m_io.run_one();
    }
    return result->m_end;
  }

  void ExpectAccepted(const std::string& answer, const std::string& what) {
    cr_expect_eq(Send(answer), ReplyEnd::kComplete, "%s", what.c_str());
    cr_expect_eq(Fetch(answer), FetchOutcome::kAnswered, "%s", what.c_str());
  }
  void ExpectRefused(const std::string& answer, const std::string& what) {
    cr_expect_eq(Send(answer), ReplyEnd::kLost, "%s", what.c_str());
    cr_expect_neq(Fetch(answer), FetchOutcome::kAnswered, "%s", what.c_str());
  }
};

std::unique_ptr<InvalidResponseFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<InvalidResponseFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(InvalidResponse, .init = SetUp, .fini = TearDown, .timeout = 120);

std::string WithStatusLine(const std::string& line) {
  return line + "\r\n" + kFields + "content-length: 2\r\n\r\nab";
}

std::string WithLine(const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kFields) + line +
         "\r\ncontent-length: 2\r\n\r\nab";
}

// A status that HTTP does not know reached the client as an answer.
Test(InvalidResponse, StatusIsNone_Response_IsNotAnAnswer) {
  for (const char* status :
       {"000", "001", "042", "099", "600", "999", "20", "2", "0200", "2000", "",
        "-20", "+20", "2 0", "20x", " 200"}) {
    g_fixture->ExpectRefused(
        WithStatusLine("HTTP/1.1 " + std::string(status) + " OK"), status);
  }
  for (const char* line :
       {"HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
        "HTTP/11 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 O\rK"}) {
    g_fixture->ExpectRefused(WithStatusLine(line), line);
  }
}

// A field with such a name was passed on, or gave the body another length.
Test(InvalidResponse, FieldNameIsNoToken_Response_IsNotAnAnswer) {
  for (int byte = 0; byte < 256; ++byte) {
    const auto c = static_cast<char>(byte);
    const bool is_token =
        (std::isalnum(byte) != 0 && byte < 128) ||
        (byte != 0 &&
         std::string("!#$%&'*+-.^_`|~").find(c) != std::string::npos);
    // A colon ends the name, and a line feed the line.
    if (is_token || c == ':' || c == '\n') {
      continue;
    }
    const std::string byte_text(1, c);
    const std::string what = "byte " + std::to_string(byte);
    g_fixture->ExpectRefused(WithLine("x" + byte_text + "y: v"), what);
    g_fixture->ExpectRefused(WithLine(byte_text + "x: v"), what + " first");
    g_fixture->ExpectRefused(WithLine("x" + byte_text + ": v"), what + " last");
  }
  for (const char* line :
       {"", "no colon", ": v", "content-length : 1", "transfer-encoding : x",
        " content-length: 1", "\tstamp: t", "x: v\r\n folded"}) {
    if (*line != '\0') {
      g_fixture->ExpectRefused(WithLine(line), line);
    }
  }
}

// The first line after the status, and what follows a body in chunks.
Test(InvalidResponse, FieldNameIsNoToken_OtherPlaces_IsNotAnAnswer) {
  g_fixture->ExpectRefused("HTTP/1.1 200 OK\r\n x: v\r\n" +
                               std::string(kFields) +
                               "content-length: 2\r\n\r\nab",
                           "first line");
  g_fixture->ExpectRefused(
      "HTTP/1.1 200 OK\r\n" + std::string(kFields) +
          "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nx y: v\r\n\r\n",
      "trailer");
  g_fixture->ExpectRefused("HTTP/1.1 100 Continue\r\nx y: v\r\n\r\n" +
                               WithStatusLine("HTTP/1.1 200 OK"),
                           "interim response");
}

Test(InvalidResponse, FieldValueHoldsControlByte_Response_IsNotAnAnswer) {
  for (int byte = 0; byte < 256; ++byte) {
    const auto c = static_cast<char>(byte);
    const bool is_allowed = c == '\t' || byte == 127 ? c == '\t' : byte >= 32;
    const std::string line = "x: a" + std::string(1, c) + "b";
    const std::string what = "byte " + std::to_string(byte);
    if (c == '\n') {
      continue;
    }
    if (is_allowed) {
      g_fixture->ExpectAccepted(WithLine(line), what);
    } else {
      g_fixture->ExpectRefused(WithLine(line), what);
    }
  }
}

// What servers may send stays an answer.
Test(InvalidResponse, HeadIsUnusualButValid_Response_IsAnAnswer) {
  for (const char* status : {"200", "299", "404", "421", "503", "599"}) {
    g_fixture->ExpectAccepted(
        WithStatusLine("HTTP/1.1 " + std::string(status) + " OK"), status);
  }
  for (const char* line : {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
                           "HTTP/1.1 200 A long\treason \xe9"}) {
    g_fixture->ExpectAccepted(WithStatusLine(line), line);
  }
  for (const char* line : {"!#$%&'*+-.^_`|~09azAZ: v", "x:", "x:v",
                           "x: \t v \t", "x: \xc3\xa9", "x: a: b"}) {
    g_fixture->ExpectAccepted(WithLine(line), line);
  }
}

}  // namespace
}  // namespace sorrelplank
