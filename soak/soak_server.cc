/// @file soak_server.cc Slots, queue and responses of the simulated server.

#include "soak/soak_server.h"

#include <fmt/format.h>

#include <utility>

#include "platform/wire_names.h"
#include "serve/clock_func.h"
#include "soak/crashing_requests.h"
#include "soak/ledger.h"

namespace sorrelplank::soak {

namespace {

constexpr size_t kSlots = 4;
constexpr size_t kMaxQueued = 8;
/// Minimum run time of a request; the maximum is three times this.
constexpr int kMinRunMs = 20;
constexpr int kUnavailable = 503;

asio::ip::tcp::endpoint Endpoint(const std::string& ip, uint16_t port) {
  return {asio::ip::make_address(ip), port};
}

ProxyEndpoints EndpointsOf(const SoakServerSpec& spec) {
  return {Endpoint(spec.m_ip, spec.m_port),
          Endpoint(spec.m_ip, static_cast<uint16_t>(spec.m_port + 1))};
}

}  // namespace

SoakServer::SoakServer(asio::io_context& io,
                       SoakServerSpec spec,
                       Ledger& ledger,
                       RunHandler on_run,
                       CrashHandler on_crash,
                       NoticeHandlers notices)
    : m_io(io),
      m_spec(std::move(spec)),
      m_ledger(ledger),
      m_on_run(std::move(on_run)),
      m_on_crash(std::move(on_crash)),
      m_notices(std::move(notices)),
      m_proxy(io, EndpointsOf(m_spec)),
      m_server(io,
               m_spec.m_ip,
               static_cast<uint16_t>(m_spec.m_port + 1),
               {},
               [this](HttpRequest request, HttpReply reply) {
                 Serve(std::move(request), std::move(reply));
               }) {}

std::string SoakServer::Address() const {
  return m_spec.m_ip + ":" + std::to_string(m_spec.m_port);
}

void SoakServer::Crash() {
  m_is_up = false;
  ++m_generation;
  m_notice = {};
  m_running = 0;
  m_queue.clear();
  m_proxy.StopListening();
  m_proxy.ResetAll();
}

void SoakServer::Restart(const std::string& instance,
                         const std::string& service) {
  Crash();
  m_instance = instance;
  m_spec.m_service = service;
  m_is_up = true;
  m_started = std::chrono::duration_cast<milliseconds>(WallNow());
  m_proxy.SetFault(LinkFault::kNone);
  m_proxy.SetDelay({});
  m_proxy.Listen();
}

void SoakServer::Reject(const HttpRequest& request,
                        const HttpReply& reply,
                        int status) {
  const ProxyHeaderNames names = platform::HeaderNames();
  HttpResponse response;
  response.m_status = status;
  const std::string id = request.Header(names.m_request_id).value_or("");
  response.m_headers = {{names.m_request_id, id}, {names.m_not_run, "1"}};
  if (status == kUnavailable) {
    AddNotice(id, response);
  }
  reply(std::move(response));
}

void SoakServer::AddNotice(const std::string& id, HttpResponse& response) {
  const ProxyHeaderNames names = platform::HeaderNames();
  ServerNotice notice = m_notice;
  if (response.m_status != kUnavailable) {
    notice.m_pause.reset();
  }
  if (notice.m_max_per_second) {
    response.m_headers.emplace_back(
        names.m_rate_limit.front(),
        fmt::format("{}", *notice.m_max_per_second));
  }
  if (notice.m_is_leaving) {
    response.m_headers.emplace_back(names.m_leaving.front(), "1");
  }
  if (notice.m_pause) {
    response.m_headers.emplace_back(
        "Retry-After",
        fmt::format("{:.3f}", ToMilliseconds(*notice.m_pause) / 1000));
  }
  if (notice.m_max_per_second || notice.m_is_leaving || notice.m_pause) {
    m_notices.m_on_notice(id, *this, notice);
  }
}

void SoakServer::Serve(HttpRequest request, HttpReply reply) {
  if (!m_is_up) {
    return;
  }
  const ProxyHeaderNames names = platform::HeaderNames();
  const auto expected = request.Header(names.m_expected_instance);
  if (expected && *expected != m_instance) {
    Reject(request, reply, 421);
    return;
  }
  m_notices.m_on_arrival(request.Header(names.m_request_id).value_or(""),
                         *this);
  if (m_notice.m_pause) {
    Reject(request, reply, kUnavailable);
    return;
  }
  AcceptedRequest accepted{std::move(request), std::move(reply)};
  if (m_running < kSlots) {
    Run(std::move(accepted));
  } else if (m_queue.size() < kMaxQueued) {
    m_queue.push_back(std::move(accepted));
  } else {
    Reject(accepted.m_request, accepted.m_reply, kUnavailable);
  }
}

void SoakServer::Run(AcceptedRequest accepted) {
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string id =
      accepted.m_request.Header(names.m_request_id).value_or("");
  m_ledger.RecordRun(
      id, {.m_server = m_instance,
           .m_path = accepted.m_request.m_target,
           .m_body = accepted.m_request.m_body,
           .m_organisation =
               accepted.m_request.Header(names.m_organisation).value_or(""),
           .m_has_key =
               accepted.m_request.Header(names.m_credentials).has_value()});
  m_on_run(id, *this);
  ++m_running;
  if (CrashingRequests::IsCrashingPath(accepted.m_request.m_target)) {
    auto timer =
        std::make_shared<asio::steady_timer>(m_io, milliseconds(kMinRunMs));
    timer->async_wait(
        [this, timer, generation = m_generation, id](std::error_code) {
          if (generation == m_generation) {
            m_on_crash(id, *this);
          }
        });
    return;
  }
  std::uniform_int_distribution<int> distribution(kMinRunMs, 3 * kMinRunMs);
  auto timer = std::make_shared<asio::steady_timer>(
      m_io, milliseconds(distribution(m_random)));
  timer->async_wait([this, timer, generation = m_generation,
                     accepted = std::move(accepted)](std::error_code) {
    if (generation == m_generation) {
      Finish(accepted);
    }
  });
}

void SoakServer::Finish(const AcceptedRequest& accepted) {
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string id =
      accepted.m_request.Header(names.m_request_id).value_or("");
  HttpResponse response;
  response.m_headers = {{names.m_request_id, id},
                        {names.m_stamp, m_instance},
                        {names.m_load, std::to_string(m_running) + "," +
                                           std::to_string(m_queue.size()) +
                                           "," + std::to_string(kSlots)}};
  AddNotice(id, response);
  response.m_body = Ledger::ResponseBody(id, accepted.m_request.m_target);
  accepted.m_reply(std::move(response));
  --m_running;
  if (!m_queue.empty()) {
    AcceptedRequest next = std::move(m_queue.front());
    m_queue.pop_front();
    Run(std::move(next));
  }
}

}  // namespace sorrelplank::soak
