/// @file http_server.cc The only user of RESTinio.

#include "net/http_server.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <future>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "core/time_type.h"
#include "net/response_pipeline.h"

namespace sorrelplank {

namespace {

namespace rest = restinio;

/// Maximum number of pipelined requests on a connection. More than one, so that
/// the server keeps reading and notices when the caller disconnects.
constexpr size_t kMaxPipelinedRequests = 16;
/// RESTinio's body limit is this multiple of ours, so that a body slightly too
/// large gets a 413 response instead of a closed connection.
constexpr size_t kBodyLimitFactor = 4;
/// Consecutive turns of the event loop without a new connection or request
/// after which none is waiting. A turn handles what the one before it found.
constexpr int kQuietTurns = 3;
/// Maximum time to wait for them, if there are new ones in each turn.
constexpr Duration kMaxReadingTime = milliseconds(500);

using ResponseBuilder =
    rest::response_builder_t<rest::restinio_controlled_output_t>;

/// The requests of a connection that have no response yet.
struct Connection {
  ResponsePipeline m_pipeline;
  /// For the requests in the pipeline. Only the builders are kept, not
  /// RESTinio's requests, which hold a second copy of the body.
  std::deque<ResponseBuilder> m_builders;
};
using Connections = std::unordered_map<uint64_t, Connection>;

/// Reports closed connections to the ClosedHandler, and counts accepted ones.
class ConnectionListener {
 public:
  ConnectionListener(HttpServer::ClosedHandler closed,
                     std::shared_ptr<size_t> arrivals,
                     std::shared_ptr<Connections> connections)
      : m_closed(std::move(closed)),
        m_arrivals(std::move(arrivals)),
        m_connections(std::move(connections)) {}

  void state_changed(  // NOLINT(readability-identifier-naming)
      const rest::connection_state::notice_t& notice) {
    const auto cause = notice.cause();
    if (std::holds_alternative<rest::connection_state::accepted_t>(cause)) {
      ++*m_arrivals;
    }
    const bool is_closed =
        std::holds_alternative<rest::connection_state::closed_t>(cause);
    if (is_closed) {
      m_connections->erase(notice.connection_id());
    }
    if (is_closed && m_closed) {
      m_closed(notice.connection_id());
    }
  }

 private:
  HttpServer::ClosedHandler m_closed;
  std::shared_ptr<size_t> m_arrivals;
  std::shared_ptr<Connections> m_connections;
};

struct Traits : public rest::default_single_thread_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using request_handler_t =
      std::function<rest::request_handling_status_t(rest::request_handle_t)>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  using connection_state_listener_t = ConnectionListener;
};

HttpRequest ToRequest(const rest::request_t& from) {
  HttpRequest request;
  request.m_method = from.header().method().c_str();
  request.m_path = std::string(from.header().path());
  request.m_raw_query = std::string(from.header().query());
  request.m_query = ParseQuery(request.m_raw_query);
  request.m_target = from.header().request_target();
  from.header().for_each_field([&](const auto& field) {
    std::string& value = request.m_headers[ToLower(field.name())];
    value += value.empty() ? field.value() : ", " + field.value();
  });
  request.m_body = from.body();
  const auto address = from.remote_endpoint().address();
  request.m_remote_ip = address.is_v4() ? address.to_v4().to_uint() : 0;
  request.m_connection = from.connection_id();
  return request;
}

/// Sends a response; after_write runs when all bytes were written or the
/// connection was closed.
void Send(ResponseBuilder& builder,
          HttpResponse response,
          std::function<void()> after_write) {
  builder.header().status_line(rest::http_status_line_t{
      rest::http_status_code_t{static_cast<uint16_t>(response.m_status)},
      response.m_status < 300 ? "OK" : "Refused"});
  if (!response.m_content_type.empty()) {
    builder.append_header(rest::http_field::content_type,
                          std::move(response.m_content_type));
  }
  if (response.m_close) {
    builder.connection_close();
  }
  for (auto& [name, value] : response.m_headers) {
    builder.append_header(std::move(name), std::move(value));
  }
  builder.set_body(std::move(response.m_body));
  builder.done([after_write = std::move(after_write)](const auto&) {
    // An error means that the client disconnected, so nothing is left to write.
    after_write();
  });
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io,
       const std::string& ip,
       uint16_t port,
       HttpLimits limits,
       Handler handler,
       ClosedHandler closed)
      : m_io(io),
        m_handler(std::move(handler)),
        m_server(rest::external_io_context(io), [&](auto& settings) {
          Configure(settings, ip, port, limits, std::move(closed));
        }) {
    std::exception_ptr failure;
    m_server.open_async(
        [] {}, [&](std::exception_ptr error) { failure = std::move(error); });
    // open_async only posts the opening; run it before the constructor returns.
    io.restart();
    io.poll();
    io.restart();
    if (failure) {
      std::rethrow_exception(failure);
    }
  }

  void Stop() {
    AfterReading([this] {
      m_server.close_async([] {}, [](const std::exception_ptr&) {});
    });
  }

  void AfterReading(std::function<void()> then) {
    CountQuietTurns(*m_arrivals, 0,
                    std::chrono::steady_clock::now() + kMaxReadingTime,
                    std::move(then));
  }

  size_t UnwrittenResponses() const { return *m_unwritten_responses; }

  void Reopen(FailureHandler on_failure) {
    m_server.open_async([] {}, std::move(on_failure));
  }

 private:
  template <typename ServerSettings>
  void Configure(ServerSettings& settings,
                 const std::string& ip,
                 uint16_t port,
                 HttpLimits limits,
                 ClosedHandler closed) {
    settings.address(ip)
        .port(port)
        .buffer_size(8192)
        .max_pipelined_requests(kMaxPipelinedRequests)
        .read_next_http_message_timelimit(std::chrono::seconds(300))
        .handle_request_timeout(std::chrono::seconds(700))
        .write_http_response_timelimit(std::chrono::seconds(30))
        .incoming_http_msg_limits(
            rest::incoming_http_msg_limits_t{}
                .max_url_size(limits.m_max_field_bytes)
                .max_field_name_size(1024)
                .max_field_value_size(limits.m_max_field_bytes)
                .max_field_count(100)
                .max_body_size(limits.m_max_body_bytes * kBodyLimitFactor))
        .acceptor_options_setter([](auto& options) {
          options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](auto& options) {
          options.set_option(asio::ip::tcp::no_delay(true));
        })
        .connection_state_listener(std::make_shared<ConnectionListener>(
            std::move(closed), m_arrivals, m_connections))
        .request_handler([this, limits](const rest::request_handle_t& from) {
          Handle(from, limits);
          return rest::request_accepted();
        });
  }

  void CountQuietTurns(size_t arrivals,
                       int quiet_turns,
                       std::chrono::steady_clock::time_point latest,
                       std::function<void()> then) {
    asio::post(m_io, [this, alive = std::weak_ptr<void>(m_alive), arrivals,
                      quiet_turns, latest, then = std::move(then)]() mutable {
      if (alive.expired()) {
        return;
      }
      const int turns = *m_arrivals == arrivals ? quiet_turns + 1 : 0;
      if (turns == kQuietTurns || std::chrono::steady_clock::now() >= latest) {
        then();
        return;
      }
      CountQuietTurns(*m_arrivals, turns, latest, std::move(then));
    });
  }

  void Handle(const rest::request_handle_t& from, HttpLimits limits) {
    ++*m_arrivals;
    const uint64_t id = from->connection_id();
    Connection& connection = (*m_connections)[id];
    if (!connection.m_pipeline.MayReadMore()) {
      return;
    }
    const uint64_t number = connection.m_pipeline.AddRequest();
    connection.m_builders.push_back(from->create_response());
    if (from->body().size() > limits.m_max_body_bytes) {
      HttpResponse refusal;
      refusal.m_status = 413;
      refusal.m_body = R"({"error":"body_too_large","limit_bytes":)" +
                       std::to_string(limits.m_max_body_bytes) + "}";
      Answer(id, number, std::move(refusal));
      return;
    }
    m_handler(ToRequest(*from), [this, id, number](HttpResponse response) {
      Answer(id, number, std::move(response));
    });
  }

  void Answer(uint64_t id, uint64_t number, HttpResponse response) {
    const auto it = m_connections->find(id);
    if (it == m_connections->end()) {
      // The client has closed the connection.
      return;
    }
    ++*m_unwritten_responses;
    response.m_until_written = std::shared_ptr<void>(
        nullptr, [unwritten = m_unwritten_responses,
                  held = std::move(response.m_until_written)](void*) mutable {
          --*unwritten;
          held.reset();
        });
    Connection& connection = it->second;
    connection.m_pipeline.SetResponse(number, std::move(response));
    while (auto next = connection.m_pipeline.TakeNext()) {
      ResponseBuilder builder = std::move(connection.m_builders.front());
      connection.m_builders.pop_front();
      auto until_written = std::move(next->m_until_written);
      Send(builder, std::move(*next),
           [until_written = std::move(until_written)]() mutable {
             until_written.reset();
           });
    }
  }

  asio::io_context& m_io;
  Handler m_handler;
  /// Connections accepted and requests read.
  std::shared_ptr<size_t> m_arrivals = std::make_shared<size_t>(0);
  std::shared_ptr<Connections> m_connections = std::make_shared<Connections>();
  /// Expires with this object.
  std::shared_ptr<void> m_alive = std::make_shared<int>(0);
  /// Shared with callbacks that may run after this object is destroyed.
  std::shared_ptr<size_t> m_unwritten_responses = std::make_shared<size_t>(0);
  rest::http_server_t<Traits> m_server;
};

HttpServer::HttpServer(asio::io_context& io,
                       const std::string& ip,
                       uint16_t port,
                       HttpLimits limits,
                       Handler handler,
                       ClosedHandler closed)
    : m_impl(std::make_unique<Impl>(io,
                                    ip,
                                    port,
                                    limits,
                                    std::move(handler),
                                    std::move(closed))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Stop() {
  m_impl->Stop();
}

void HttpServer::AfterReading(std::function<void()> then) {
  m_impl->AfterReading(std::move(then));
}

size_t HttpServer::UnwrittenResponses() const {
  return m_impl->UnwrittenResponses();
}

void HttpServer::Reopen(FailureHandler on_failure) {
  m_impl->Reopen(std::move(on_failure));
}

}  // namespace sorrelplank
