/// @file request_proxy_test.cc Forwarding of requests and responses.

#include "proxy/request_proxy.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "proxy/decision_log.h"
#include "proxy/proxy_metrics.h"

namespace sorrelplank {
namespace {

using asio::ip::tcp;

ProxyHeaderNames Names() {
  return {.m_request_id = "id",
          .m_deadline_ms = "deadline",
          .m_expected_instance = "expect-instance",
          .m_object = "object",
          .m_credentials = "authorization",
          .m_organisation = "organisation",
          .m_stamp = "stamp",
          .m_not_run = "not-run",
          .m_load = "load",
          .m_instance = "instance"};
}

SteeringSettings MakeSettings() {
  return {.m_vm = "vm-1",
          .m_failure_domain = "d1",
          .m_region = "r1",
          .m_regions = {{"d1", "r1"}},
          .m_retry_ratio = 0.2,
          .m_retry_extra = 10,
          .m_retry_window = seconds(10)};
}

/// A response with two of six bytes of its body.
constexpr const char* kHalfAnswer =
    "HTTP/1.1 200 X\r\nid: r1\r\nstamp: s\r\ncontent-length: 6\r\n\r\nan";

/// A proxy with one route, and a backend server that accepts one connection and
/// answers each read with m_answer.
struct ProxyFixture {
  asio::io_context m_io{1};
  int m_pipe[2] = {-1, -1};
  std::unique_ptr<DecisionLog> m_log;
  ProxyMetrics m_metrics{"vm-1"};
  std::unique_ptr<RequestProxy> m_proxy;
  std::shared_ptr<const RoutingTable> m_table;
  tcp::acceptor m_acceptor{m_io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket m_peer{m_io};
  std::string m_answer;
  std::string m_received;
  std::array<char, 4096> m_buffer{};
  bool m_peer_closed = false;
  std::optional<HttpResponse> m_reply;

  ProxyFixture() {
    cr_assert_eq(pipe(m_pipe), 0);
    m_log = std::make_unique<DecisionLog>("vm-1", m_pipe[1]);
    m_proxy = std::make_unique<RequestProxy>(m_io, MakeSettings(), Names(),
                                             *m_log, m_metrics);
    auto table = std::make_shared<RoutingTable>();
    table->m_version = 1;
    table->m_routes = {{.m_name = "r",
                        .m_host = "h",
                        .m_prefix = "/x/",
                        .m_idempotent = true,
                        .m_timeout = seconds(20),
                        .m_target_latency = seconds(1),
                        .m_max_sends = 1,
                        .m_home_regions = {},
                        .m_shares = {{"s", 1}}}};
    table->m_services["s"] = {.m_name = "s"};
    table->m_limits.m_body_bytes = 100;
    table->m_limits.m_header_bytes = 1000;
    const TimePoint now;
    m_table = table;
    m_proxy->GetSteering().Install(table, now);
    m_proxy->GetSteering().PutServer(
        {"i-1",
         "s",
         {asio::ip::address_v4::loopback().to_uint(),
          m_acceptor.local_endpoint().port()},
         "d1",
         4,
         false,
         {}},
        now);
    m_proxy->GetSteering().Tick(now + seconds(1));
    m_acceptor.async_accept(m_peer, [this](std::error_code error) {
      if (!error) {
        Read();
      }
    });
  }

  ~ProxyFixture() {
    m_proxy.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  void Read() {
    m_peer.async_read_some(asio::buffer(m_buffer),
                           [this](std::error_code error, size_t bytes) {
                             if (error) {
                               m_peer_closed = true;
                               return;
                             }
                             m_received.append(m_buffer.data(), bytes);
                             if (!m_answer.empty()) {
                               asio::write(m_peer, asio::buffer(m_answer));
                             }
                             Read();
                           });
  }

  /// Installs a table in which requests need the key "secret".
  void InstallOrganisation() {
    auto table = std::make_shared<RoutingTable>(*m_table);
    ++table->m_version;
    table->m_organisations = {{.m_name = "acme",
                               .m_keys = {"secret"},
                               .m_priority = std::nullopt,
                               .m_home_regions = {}}};
    m_proxy->GetSteering().Install(table, TimePoint());
  }

  /// Installs a table whose route allows so many sends and bodies so long, and
  /// whose target does not limit how many requests wait.
  void InstallRoute(uint32_t max_sends, size_t max_body_bytes) {
    auto table = std::make_shared<RoutingTable>(*m_table);
    ++table->m_version;
    table->m_routes[0].m_max_sends = max_sends;
    table->m_routes[0].m_timeout = seconds(60);
    table->m_routes[0].m_target_latency = seconds(60);
    table->m_limits.m_body_bytes = max_body_bytes;
    m_proxy->GetSteering().Install(table, TimePoint());
  }

  void PutServer(const std::string& instance, uint16_t port) {
    const uint32_t ip = asio::ip::address_v4::loopback().to_uint();
    m_proxy->GetSteering().PutServer(
        {instance, "s", {ip, port}, "d1", 4, false, {}}, TimePoint());
  }

  static HttpRequest Request() {
    HttpRequest request;
    request.m_method = "POST";
    request.m_path = "/x/y";
    request.m_target = "/x/y?q=1";
    request.m_headers = {{"host", "h"},
                         {"id", "r1"},
                         {"object", "17"},
                         {"deadline", "5000"},
                         {"connection", "keep-alive"},
                         {"expect-instance", "forged"},
                         {"other", "kept"}};
    request.m_body = "body";
    request.m_connection = 9;
    return request;
  }

  void Accept(HttpRequest request) {
    m_proxy->Accept(std::move(request), [this](HttpResponse response) {
      m_reply = std::move(response);
    });
  }

  size_t HeldBytes() const { return m_proxy->Bodies().Held(); }

  /// Accepts a request and runs until two bytes of its response have arrived.
  void AcceptHalf() {
    m_answer = kHalfAnswer;
    Accept(Request());
    const size_t expected = HeldBytes() + 2;
    RunUntil([&] { return HeldBytes() == expected; });
  }

  template <typename Condition>
  void RunUntil(const Condition& is_done) {
    m_io.restart();
    while (!is_done()) {
      m_io.run_one();
    }
  }

  bool Received(const std::string& text) const {
    return m_received.find(text) != std::string::npos;
  }
};

std::unique_ptr<ProxyFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<ProxyFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(RequestProxy, .init = SetUp, .fini = TearDown, .timeout = 30);

Test(RequestProxy, Request_Forwarded_KeepsTheClientsFields) {
  g_fixture->m_answer =
      "HTTP/1.1 201 X\r\nid: r1\r\nstamp: s\r\nload: 1,0,4\r\n"
      "custom: c\r\ncontent-length: 2\r\n\r\nok";
  g_fixture->Accept(ProxyFixture::Request());
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert(g_fixture->Received("POST /x/y?q=1 HTTP/1.1\r\n"));
  cr_assert(g_fixture->Received("other: kept\r\n"));
  cr_assert(g_fixture->Received("expect-instance: i-1\r\n"));
  cr_assert(g_fixture->Received("content-length: 4\r\n"));
  cr_assert(g_fixture->Received("\r\n\r\nbody"));
  cr_assert_not(g_fixture->Received("forged"));
  cr_assert_not(g_fixture->Received("connection: keep-alive"));
  const HttpResponse& reply = *g_fixture->m_reply;
  cr_assert_eq(reply.m_status, 201);
  cr_assert_str_eq(reply.m_body.c_str(), "ok");
  bool has_stamp = false;
  for (const auto& [name, value] : reply.m_headers) {
    has_stamp |= name == "stamp" && value == "s";
    cr_assert_str_neq(name.c_str(), "load");
    cr_assert_str_neq(name.c_str(), "content-length");
  }
  cr_assert(has_stamp);
}

// If organisations have keys, neither the key nor an organisation named by the
// client may reach a server.
Test(RequestProxy, RequestWithKey_Forwarded_NamesOrganisationAndHidesKey) {
  g_fixture->m_answer =
      "HTTP/1.1 200 X\r\nid: r1\r\nstamp: s\r\ncontent-length: 0\r\n\r\n";
  g_fixture->InstallOrganisation();
  HttpRequest request = ProxyFixture::Request();
  request.m_headers["authorization"] = "Bearer secret";
  request.m_headers["organisation"] = "forged";
  request.m_headers["connection"] = "organisation";
  g_fixture->Accept(std::move(request));
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert(g_fixture->Received("organisation: acme\r\n"));
  cr_assert_not(g_fixture->Received("secret"));
  cr_assert_not(g_fixture->Received("forged"));
}

Test(RequestProxy, NoOrganisations_Forwarded_KeepsCredentials) {
  g_fixture->m_answer =
      "HTTP/1.1 200 X\r\nid: r1\r\nstamp: s\r\ncontent-length: 0\r\n\r\n";
  HttpRequest request = ProxyFixture::Request();
  request.m_headers["authorization"] = "Basic mine";
  g_fixture->Accept(std::move(request));
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert(g_fixture->Received("authorization: Basic mine\r\n"));
}

Test(RequestProxy, UnknownKey_Answer_Is401WithTheScheme) {
  g_fixture->InstallOrganisation();
  g_fixture->Accept(ProxyFixture::Request());
  cr_assert_eq(g_fixture->m_reply->m_status, 401);
  const auto* scheme =
      FindField(g_fixture->m_reply->m_headers, "WWW-Authenticate");
  cr_assert_not_null(scheme);
}

// When the client closes its connection, the connection to the server must be
// closed as well, or the server would continue useless work.
Test(RequestProxy, Client_Leaves_ServersConnectionIsClosed) {
  g_fixture->Accept(ProxyFixture::Request());
  g_fixture->RunUntil([] { return !g_fixture->m_received.empty(); });
  g_fixture->m_proxy->ClientClosed(9);
  g_fixture->RunUntil([] { return g_fixture->m_peer_closed; });
  cr_assert_not(g_fixture->m_reply.has_value());
}

Test(RequestProxy, Stopping_Answer_ClosesTheConnection) {
  g_fixture->m_answer =
      "HTTP/1.1 200 X\r\nid: r1\r\nstamp: s\r\ncontent-length: 0\r\n\r\n";
  g_fixture->m_proxy->SetStopping();
  g_fixture->Accept(ProxyFixture::Request());
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert(g_fixture->m_reply->m_close);
}

/// A modification that makes a request invalid, and the expected status.
struct BadRequest {
  const char* m_what;
  int m_status;
  void (*m_modify)(HttpRequest&);
};

constexpr BadRequest kBadRequests[] = {
    {"no id", 400, [](HttpRequest& r) { r.m_headers.erase("id"); }},
    {"empty id", 400, [](HttpRequest& r) { r.m_headers["id"] = ""; }},
    {"no host", 400, [](HttpRequest& r) { r.m_headers.erase("host"); }},
    {"long body", 413, [](HttpRequest& r) { r.m_body.assign(101, 'x'); }},
    {"long head", 431,
     [](HttpRequest& r) { r.m_headers["other"].assign(1000, 'x'); }},
    {"no route", 404, [](HttpRequest& r) { r.m_path = "/z/"; }}};

Test(RequestProxy, BadRequest_EachKind_IsAnsweredAtOnce) {
  for (const BadRequest& bad : kBadRequests) {
    HttpRequest request = ProxyFixture::Request();
    bad.m_modify(request);
    g_fixture->m_reply.reset();
    g_fixture->Accept(std::move(request));
    cr_assert(g_fixture->m_reply.has_value(), "%s", bad.m_what);
    cr_assert_eq(g_fixture->m_reply->m_status, bad.m_status, "%s", bad.m_what);
  }
}

// Without any server, the client must be told immediately that nothing ran and
// when to retry.
Test(RequestProxy, NoServer_Refusal_HasRetryAfter) {
  g_fixture->m_proxy->GetSteering().RemoveServer("i-1", TimePoint());
  g_fixture->Accept(ProxyFixture::Request());
  cr_assert_eq(g_fixture->m_reply->m_status, 503);
  cr_assert_str_eq(g_fixture->m_reply->m_headers.back().first.c_str(),
                   "Retry-After");
}

// Guards against sending or queueing a request that does not fit into memory.
Test(RequestProxy, NoMemory_Request_IsRefusedUnsent) {
  g_fixture->m_proxy->Bodies().SetMemory(20'000);
  g_fixture->Accept(ProxyFixture::Request());
  cr_assert_eq(g_fixture->m_reply->m_status, 503);
  cr_assert_neq(g_fixture->m_reply->m_body.find("no_memory"),
                std::string::npos);
  cr_assert_not_null(FindField(g_fixture->m_reply->m_headers, "Retry-After"));
  cr_assert_eq(g_fixture->m_proxy->Pool().ConnectionsOpened(), 0);
  cr_assert_eq(g_fixture->m_proxy->GetSteering().Running(), 0);
  cr_assert_eq(g_fixture->HeldBytes(), 0);
}

// A response must count until the client has read it, not only until it is
// passed to the HTTP server.
Test(RequestProxy, Response_UntilWritten_IsHeld) {
  g_fixture->m_answer = std::string(kHalfAnswer) + "swer";
  g_fixture->Accept(ProxyFixture::Request());
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert_eq(g_fixture->HeldBytes(), 6);
  g_fixture->m_reply.reset();
  cr_assert_eq(g_fixture->HeldBytes(), 0);
}

// A client that leaves during its response must not keep memory reserved.
Test(RequestProxy, Client_LeavesDuringResponse_ReleasesAll) {
  g_fixture->AcceptHalf();
  g_fixture->m_proxy->ClientClosed(9);
  cr_assert_eq(g_fixture->HeldBytes(), 0);
}

// A retried request must be counted once, and the truncated response of its
// first attempt must be released.
Test(RequestProxy, BrokenConnection_RetriedRequest_ReleasesAll) {
  g_fixture->InstallRoute(2, 1000);
  g_fixture->AcceptHalf();
  // Nothing listens at the second server.
  g_fixture->PutServer("i-2", 1);
  g_fixture->m_peer.close();
  g_fixture->RunUntil([] { return g_fixture->m_reply.has_value(); });
  cr_assert_geq(g_fixture->m_proxy->Pool().ConnectionsOpened(), 2);
  cr_assert_eq(g_fixture->m_reply->m_status, 502);
  cr_assert_eq(g_fixture->HeldBytes(), 0);
}

// The load on the smallest VM: 300 clients send bodies at the limit, then 20
// small ones. Guards against holding more than the memory allows, and against
// refusing the small ones.
Test(RequestProxy, ManyLargeBodies_SmallestVm_HoldsNoMoreThanTheBound) {
  BodyBudget& bodies = g_fixture->m_proxy->Bodies();
  bodies.SetMemory(160'000'000);
  g_fixture->InstallRoute(1, 1'000'000);
  std::vector<uint64_t> refused;
  for (uint64_t client = 1; client <= 320; ++client) {
    HttpRequest request = ProxyFixture::Request();
    request.m_connection = client;
    request.m_headers["deadline"] = "60000";
    request.m_body.assign(client > 300 ? 1000 : 1'000'000, 'x');
    g_fixture->m_proxy->Accept(
        std::move(request), [&](const HttpResponse& response) {
          cr_expect_neq(response.m_body.find("no_memory"), std::string::npos);
          refused.push_back(client);
        });
  }
  cr_assert(refused.size() > 200 && refused.size() < 270);
  cr_assert_leq(refused.back(), 300);
  cr_assert_leq(bodies.Held(), bodies.Bound());
  for (uint64_t client = 1; client <= 320; ++client) {
    g_fixture->m_proxy->ClientClosed(client);
  }
  cr_assert_eq(bodies.Held(), 0);
}

}  // namespace
}  // namespace sorrelplank
