/// @file http_request_parser_test.cc Parsing of requests, and its limits.

#include "net/http_request_parser.h"

#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <vector>

namespace sorrelplank {
namespace {

using State = HttpRequestParser::State;

/// A parser, and the requests that it has parsed.
struct ParserFixture {
  HttpRequestParser m_parser{HttpLimits{.m_max_body_bytes = 1000}};
  std::vector<HttpRequest> m_requests;

  /// Parses until the end of the bytes or a failure; returns the state.
  State Parse(std::string_view bytes) {
    while (!bytes.empty() && m_parser.CurrentState() != State::kFailed) {
      bytes.remove_prefix(m_parser.Parse(bytes));
      if (m_parser.CurrentState() == State::kComplete) {
        m_requests.push_back(m_parser.Request());
        m_parser.Next();
      }
    }
    return m_parser.CurrentState();
  }
};

constexpr const char* kTwoRequests =
    "POST /a/b?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Tag: one\r\nx-tag: two\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
    "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";

void ExpectTwoRequests(const std::vector<HttpRequest>& requests) {
  cr_assert_eq(requests.size(), 2);
  cr_expect_eq(requests[0].m_method, "POST");
  cr_expect_eq(requests[0].m_target, "/a/b?x=1&y=%20");
  cr_expect_eq(requests[0].m_path, "/a/b");
  cr_expect_eq(requests[0].m_raw_query, "x=1&y=%20");
  cr_expect_eq(requests[0].Query().at("y"), " ");
  cr_expect_eq(requests[0].Header("x-tag").value_or(""), "one, two");
  cr_expect_not(requests[0].Header("trailer").has_value());
  cr_expect_eq(requests[0].m_body, "abcde");
  cr_expect_eq(requests[1].m_path, "/c");
  cr_expect(requests[1].m_body.empty());
}

Test(HttpRequestParser, PipelinedRequests_AtOnceOrByteByByte_AreTheSame) {
  ParserFixture at_once;
  cr_assert_eq(at_once.Parse(kTwoRequests), State::kIdle);
  ExpectTwoRequests(at_once.m_requests);
  ParserFixture split;
  for (const char byte : std::string(kTwoRequests)) {
    split.Parse(std::string_view(&byte, 1));
  }
  ExpectTwoRequests(split.m_requests);
}

Test(HttpRequestParser, HeadIsComplete_BodyLength_IsKnown) {
  HttpRequestParser parser(HttpLimits{});
  const std::string head =
      "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n";
  parser.Parse(head);
  cr_assert_eq(parser.CurrentState(), State::kHeadDone);
  cr_assert(parser.HasBody());
  cr_assert_eq(parser.BodyLength().value_or(0), 5);
}

// A body with two lengths could hide a second request from one of two readers.
Test(HttpRequestParser, LengthAndChunks_Request_IsRefused) {
  ParserFixture fixture;
  cr_assert_eq(
      fixture.Parse("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      State::kFailed);
  cr_assert_eq(fixture.m_parser.FailureStatus(), 400);
}

Test(HttpRequestParser, LimitsExceeded_Request_IsRefused) {
  std::string fields;
  for (int number = 0; number < 101; ++number) {
    fields += "f" + std::to_string(number) + ": v\r\n";
  }
  ParserFixture many_fields;
  many_fields.Parse("GET / HTTP/1.1\r\n" + fields + "\r\n");
  cr_expect_eq(many_fields.m_parser.FailureStatus(), 431);
  ParserFixture long_target;
  long_target.Parse("GET /" + std::string(9000, 'x') + " HTTP/1.1\r\n\r\n");
  cr_expect_eq(long_target.m_parser.FailureStatus(), 431);
  ParserFixture long_body;
  long_body.Parse(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
      std::string(1001, 'x') + "\r\n0\r\n\r\n");
  cr_expect_eq(long_body.m_parser.FailureStatus(), 413);
}

// Passed on to a server, such a line could hide a second request in the body.
Test(HttpRequestParser, FieldNameIsNoToken_Request_IsRefused) {
  for (const char* line :
       {"Transfer-Encoding : chunked", "Content-Length : 1", "x y: v", " x: v",
        "\tx: v", "x\t: v", "x\x01: v", ": v", "x", "x: v\r\n fold", "x: a\x01",
        "x: a\rb"}) {
    ParserFixture fixture;
    fixture.Parse("POST / HTTP/1.1\r\nHost: h\r\n" + std::string(line) +
                  "\r\nContent-Length: 2\r\n\r\nab");
    cr_expect_eq(fixture.m_parser.CurrentState(), State::kFailed, "%s", line);
    cr_expect_eq(fixture.m_parser.FailureStatus(), 400, "%s", line);
    cr_expect(fixture.m_requests.empty(), "%s", line);
  }
}

// A server could read a different path, or another line.
Test(HttpRequestParser, TargetHoldsControlByte_Request_IsRefused) {
  for (const char* target : {"/a\tb", "/a\x0c", "/a\x01", "/a\x7f", "/a\rb"}) {
    ParserFixture fixture;
    fixture.Parse("GET " + std::string(target) +
                  " HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_expect_eq(fixture.m_parser.CurrentState(), State::kFailed, "%s", target);
  }
}

// Empty lines between requests belong to none of them.
Test(HttpRequestParser, EmptyLinesBetweenRequests_Requests_AreParsed) {
  ParserFixture fixture;
  fixture.Parse(
      "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "\r\nGET /b HTTP/1.1\nHost: h\n\n");
  cr_assert_eq(fixture.m_requests.size(), 2);
}

// The server does not speak other protocols; the request is an ordinary one.
Test(HttpRequestParser, UpgradeIsOffered_Request_IsParsed) {
  ParserFixture fixture;
  fixture.Parse(
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert_eq(fixture.m_requests.size(), 2);
  cr_assert_eq(fixture.m_requests[1].m_path, "/b");
}

}  // namespace
}  // namespace sorrelplank
