/// @file pipelined_requests_test.cc Requests that a client sends before the
/// first one is answered.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "net/response_pipeline.h"
#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

HttpResponse ClosingResponse(const std::string& body) {
  HttpResponse response;
  response.m_body = body;
  response.m_close = true;
  return response;
}

/// A server whose requests are answered by the test, and a client.
struct PipelineFixture {
  asio::io_context m_io{1};
  uint16_t m_port = FreePort();
  std::vector<HttpReply> m_replies;
  HttpServer m_server{m_io,
                      "127.0.0.1",
                      m_port,
                      {},
                      [this](const HttpRequest&, const HttpReply& reply) {
                        m_replies.push_back(reply);
                      }};
  asio::ip::tcp::socket m_client{m_io};

  PipelineFixture() {
    m_client.connect({asio::ip::make_address("127.0.0.1"), m_port});
  }

  void Send(const std::string& bytes) {
    asio::write(m_client, asio::buffer(bytes));
    Run();
  }
  void SendRequests(int count) {
    std::string bytes;
    for (int number = 0; number < count; ++number) {
      bytes += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    Send(bytes);
  }
  void Run() {
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(50));
  }
  /// Reads until the server closes the connection.
  std::string ReadAll() {
    std::string bytes;
    std::error_code error;
    asio::async_read(m_client, asio::dynamic_buffer(bytes),
                     [&](std::error_code end, size_t) { error = end; });
    Run();
    cr_expect_eq(error, asio::error::eof, "%s", error.message().c_str());
    return bytes;
  }
};

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

std::unique_ptr<PipelineFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<PipelineFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(PipelinedRequests, .init = SetUp, .fini = TearDown);

// A stopping VM closed a connection after its first response, and requests that
// servers were running for it got no answer.
Test(PipelinedRequests, FirstResponseCloses_LaterRequests_AreAnswered) {
  g_fixture->SendRequests(3);
  cr_assert_eq(g_fixture->m_replies.size(), 3);
  g_fixture->m_replies[0](ClosingResponse("one"));
  g_fixture->Run();
  g_fixture->m_replies[1](ClosingResponse("two"));
  g_fixture->Run();
  g_fixture->m_replies[2](ClosingResponse("three"));
  const std::string bytes = g_fixture->ReadAll();
  cr_expect_eq(CountOf(bytes, " 200 OK"), 3, "%s", bytes.c_str());
  cr_expect_eq(CountOf(bytes, "Connection: close"), 1, "%s", bytes.c_str());
  cr_expect_gt(bytes.find("Connection: close"), bytes.find("two"));
}

// The last response is ready first and waits for a slower one before it.
Test(PipelinedRequests, LastResponseIsReadyFirst_AllOfThem_AreWritten) {
  g_fixture->SendRequests(3);
  for (const size_t number : {2, 1, 0}) {
    g_fixture->m_replies.at(number)(ClosingResponse(std::to_string(number)));
    g_fixture->Run();
  }
  const std::string bytes = g_fixture->ReadAll();
  cr_expect_eq(CountOf(bytes, " 200 OK"), 3, "%s", bytes.c_str());
  cr_expect_eq(CountOf(bytes, "Connection: close"), 1, "%s", bytes.c_str());
}

// A request that arrives behind a response that closes the connection would be
// cut off at its server; the client sends it again.
Test(PipelinedRequests, CloseIsDecided_FurtherRequests_AreNotRun) {
  g_fixture->SendRequests(2);
  g_fixture->m_replies[0](ClosingResponse("one"));
  g_fixture->Run();
  g_fixture->SendRequests(1);
  cr_expect_eq(g_fixture->m_replies.size(), 2);
  g_fixture->m_replies[1](ClosingResponse("two"));
  const std::string bytes = g_fixture->ReadAll();
  cr_expect_eq(CountOf(bytes, " 200 OK"), 2, "%s", bytes.c_str());
}

// A head that can't be accepted cut off the requests before it.
Test(PipelinedRequests, HeadWithTooManyFields_RequestsBefore_AreAnswered) {
  g_fixture->SendRequests(3);
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int number = 0; number < 120; ++number) {
    head += "f" + std::to_string(number) + ": v\r\n";
  }
  g_fixture->Send(head + "\r\n");
  for (const HttpReply& reply : g_fixture->m_replies) {
    reply(HttpResponse());
  }
  const std::string bytes = g_fixture->ReadAll();
  cr_expect_eq(CountOf(bytes, " 200 OK"), 3, "%s", bytes.c_str());
  cr_expect_eq(CountOf(bytes, " 431 "), 1, "%s", bytes.c_str());
}

// A body over the limit is refused by its length. The client reads the response
// after it has sent everything.
Test(PipelinedRequests, BodyOverTheLimit_ClientSendsOn_GetsTheRefusal) {
  const std::string body(4U << 20U, 'x');
  g_fixture->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n");
  asio::async_write(g_fixture->m_client, asio::buffer(body),
                    [](std::error_code error, size_t) {
                      cr_expect_not(error, "%s", error.message().c_str());
                    });
  g_fixture->Run();
  g_fixture->m_client.shutdown(asio::ip::tcp::socket::shutdown_send);
  const std::string bytes = g_fixture->ReadAll();
  cr_expect_eq(CountOf(bytes, " 413 "), 1, "%s", bytes.c_str());
  cr_expect(g_fixture->m_replies.empty());
}

Test(ResponsePipeline, CloseIsWanted_OnlyTheLastResponse_Closes) {
  ResponsePipeline pipeline;
  const uint64_t first = pipeline.AddRequest();
  const uint64_t second = pipeline.AddRequest();
  pipeline.SetResponse(first, ClosingResponse(""));
  cr_assert_not(pipeline.TakeNext()->m_close);
  cr_assert_not(pipeline.MayReadMore());
  cr_assert_not(pipeline.TakeNext().has_value());
  pipeline.SetResponse(second, HttpResponse());
  cr_assert(pipeline.TakeNext()->m_close);
  cr_assert_eq(pipeline.OpenCount(), 0);
}

}  // namespace
}  // namespace sorrelplank
