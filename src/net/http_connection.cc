/// @file http_connection.cc Reading, parsing and writing of a connection.

#include "net/http_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <exception>
#include <string_view>
#include <utility>

#include "net/http_server_context.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Maximum number of pipelined requests on a connection. More than one, so that
/// the server keeps reading and notices when the client disconnects.
constexpr size_t kMaxPipelinedRequests = 16;
/// Limit on the time in which nothing of a request's head or body arrives.
constexpr Duration kMaxRequestPause = seconds(30);
/// Limit on the time in which a body arrives, the longest time that a client
/// waits for a response. A slow client must not keep memory reserved for ever.
constexpr Duration kMaxBodyTime = seconds(60);
/// Limit on the time that a client takes to read the responses of one write.
constexpr Duration kMaxWriteTime = seconds(30);
/// How long a connection is read after its last response, from the last bytes
/// that arrived, and kMaxBodyTime at most. A client may send the whole body
/// before it reads the response.
constexpr Duration kLingerTime = seconds(2);
/// A refused body up to this size is read and dropped, so that the client can
/// keep its connection; a larger one closes it.
constexpr uint64_t kMaxDroppedBodyBytes = 64U << 10U;
/// A body that grows by less has made no progress, so that single bytes do not
/// keep its memory from others.
constexpr size_t kMinBodyProgress = 4096;
/// Memory of a head that is arriving, as a multiple of its bytes: the buffers
/// of its parts double as they grow.
constexpr size_t kHeadMemoryFactor = 2;

HttpResponse ErrorResponse(int status, std::string body) {
  HttpResponse response;
  response.m_status = status;
  response.m_body = std::move(body);
  return response;
}

std::string FormatHead(const HttpResponse& response) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\nConnection: {}\r\n", response.m_status,
                  response.m_status < 300 ? "OK" : "Refused",
                  response.m_close ? "close" : "keep-alive");
  const bool has_length = response.m_status != 204 && response.m_status != 304;
  if (has_length) {
    head += fmt::format("Content-Length: {}\r\n", response.m_body.size());
  }
  if (!response.m_content_type.empty()) {
    head += fmt::format("Content-Type: {}\r\n", response.m_content_type);
  }
  for (const auto& [name, value] : response.m_headers) {
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               uint64_t id,
                               std::shared_ptr<HttpServerContext> context)
    : m_socket(std::move(socket)),
      m_id(id),
      m_context(std::move(context)),
      m_parser(m_context->m_limits) {}

void HttpConnection::Start() {
  std::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto remote = m_socket.remote_endpoint(ignored).address();
  m_remote_ip = remote.is_v4() ? remote.to_v4().to_uint() : 0;
  m_progressed = SteadyNow();
  Read();
}

void HttpConnection::Close() {
  if (m_is_closed) {
    return;
  }
  m_is_closed = true;
  m_context->m_head_bytes -= std::exchange(m_head_bytes, 0);
  const auto self = shared_from_this();
  std::error_code ignored;
  m_socket.close(ignored);
  m_pipeline = ResponsePipeline();
  m_context->m_connections.erase(m_id);
  if (m_context->m_on_closed) {
    m_context->m_on_closed(m_id);
  }
}

void HttpConnection::CloseIfOverdue(TimePoint now) {
  const bool is_mid_request =
      m_parser.CurrentState() != HttpRequestParser::State::kIdle;
  const Duration pause = m_is_reading ? now - m_read_began : Duration::zero();
  const bool is_body_overdue =
      m_is_body_arriving && !m_parser.IsDiscarding() &&
      (pause > kMaxRequestPause || now - m_body_began > kMaxBodyTime);
  if (is_body_overdue) {
    EndBody(now);
    return;
  }
  // What arrived while the process could not run is read before the next check.
  const bool was_overdue = std::exchange(m_was_overdue, IsRequestOverdue(now));
  const bool is_read_overdue = (was_overdue && m_was_overdue) ||
                               (m_pipeline.OpenCount() == 0 && is_mid_request &&
                                pause > kMaxRequestPause);
  const bool is_write_overdue =
      !m_outgoing.empty() && now - m_write_began > kMaxWriteTime;
  const bool is_linger_over =
      m_is_lingering &&
      (now - std::max(m_linger_began, m_read_began) > kLingerTime ||
       now - m_linger_began > kMaxBodyTime);
  if (is_read_overdue || is_write_overdue || is_linger_over) {
    Close();
  }
}

bool HttpConnection::IsRequestOverdue(TimePoint now) const {
  if (m_pipeline.OpenCount() > 0 || !m_outgoing.empty()) {
    return false;
  }
  switch (m_parser.CurrentState()) {
    case HttpRequestParser::State::kIdle:
      return now - m_progressed > m_context->m_timeouts.m_idle;
    case HttpRequestParser::State::kHead:
      return now - m_head_began > m_context->m_timeouts.m_head;
    default:
      return false;
  }
}

ConnectionStanding HttpConnection::Standing() const {
  const bool is_head_arriving =
      m_parser.CurrentState() == HttpRequestParser::State::kHead;
  const bool is_body_arriving = m_is_body_arriving && !m_parser.IsDiscarding();
  const size_t arriving_bodies = is_body_arriving ? 1 : 0;
  TimePoint since = m_progressed;
  if (is_head_arriving) {
    since = m_head_began;
  } else if (is_body_arriving) {
    since = m_body_progressed;
  }
  return {.m_id = m_id,
          .m_is_serving = m_pipeline.OpenCount() > arriving_bodies,
          .m_since = since,
          // A body that is growing asks for memory itself.
          .m_is_body_arriving = is_body_arriving && !m_is_consuming,
          .m_head_bytes = m_head_bytes};
}

void HttpConnection::Read() {
  if (m_is_reading || m_is_closed) {
    return;
  }
  m_is_reading = true;
  m_read_began = SteadyNow();
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](std::error_code error, size_t bytes) {
        self->m_is_reading = false;
        if (self->m_is_closed) {
          return;
        }
        if (error) {
          // The client has closed its side, or the connection broke.
          self->Close();
          return;
        }
        self->OnRead(bytes);
      });
}

void HttpConnection::OnRead(size_t bytes) {
  m_parsed = 0;
  m_filled = bytes;
  m_progressed = SteadyNow();
  Consume();
}

bool HttpConnection::MayParse() const {
  if (m_parser.CurrentState() == HttpRequestParser::State::kFailed) {
    return false;
  }
  return m_parser.CurrentState() != HttpRequestParser::State::kIdle ||
         (m_pipeline.MayReadMore() &&
          m_pipeline.OpenCount() < kMaxPipelinedRequests);
}

void HttpConnection::Consume() {
  if (m_is_consuming) {
    return;
  }
  m_is_consuming = true;
  while (!m_is_closed && m_parsed < m_filled && MayParse()) {
    m_parsed += m_parser.Parse(
        std::string_view(m_buffer.data() + m_parsed, m_filled - m_parsed));
    switch (m_parser.CurrentState()) {
      case HttpRequestParser::State::kIdle:
      case HttpRequestParser::State::kHead:
        break;
      case HttpRequestParser::State::kHeadDone:
        OnHead();
        break;
      case HttpRequestParser::State::kBody:
        NoteBodyProgress();
        AdmitGrownBody();
        break;
      case HttpRequestParser::State::kComplete:
        AdmitGrownBody();
        OnRequest();
        break;
      case HttpRequestParser::State::kFailed:
        OnParseFailure();
        break;
    }
  }
  m_is_consuming = false;
  if (m_is_closed) {
    return;
  }
  CountHead();
  if (m_is_closed) {
    return;
  }
  const bool is_dropping = !MayParse() && !m_pipeline.MayReadMore();
  if (m_parsed == m_filled || is_dropping) {
    Read();
  }
}

void HttpConnection::CountHead() {
  const bool is_arriving =
      m_parser.CurrentState() == HttpRequestParser::State::kHead;
  const size_t before = m_head_bytes;
  m_head_bytes = is_arriving ? kHeadMemoryFactor * m_parser.HeadBytes() : 0;
  m_context->m_head_bytes += m_head_bytes - before;
  if (is_arriving && before == 0) {
    m_head_began = m_progressed;
  }
  if (m_head_bytes > before) {
    m_context->m_on_heads_grown();
  }
}

void HttpConnection::OnHead() {
  m_number = m_pipeline.AddRequest();
  m_is_body_arriving = true;
  if (!m_parser.KeepsAlive()) {
    m_pipeline.RequestClose();
  }
  const auto length = m_parser.BodyLength();
  if (length && *length > m_context->m_limits.m_max_body_bytes) {
    RefuseBody(ErrorResponse(
        413, fmt::format(R"({{"error":"body_too_large","limit_bytes":{}}})",
                         m_context->m_limits.m_max_body_bytes)));
    return;
  }
  m_body_began = SteadyNow();
  m_body_progressed = m_body_began;
  m_body_size = 0;
  m_parser.Request().m_connection = m_id;
  if (m_parser.HasBody()) {
    AdmitBody(length.value_or(0));
  }
  if (length && !m_parser.IsDiscarding()) {
    m_parser.Request().m_body.reserve(*length);
  }
}

void HttpConnection::AdmitBody(size_t bytes) {
  if (auto refusal = m_context->m_admit_body(m_parser.Request(), bytes)) {
    RefuseBody(std::move(*refusal));
  }
}

void HttpConnection::NoteBodyProgress() {
  const size_t size = m_parser.Request().m_body.size();
  if (size >= m_body_size + kMinBodyProgress) {
    m_body_progressed = m_progressed;
    m_body_size = size;
  }
}

void HttpConnection::AdmitGrownBody() {
  if (!m_parser.IsDiscarding() && !m_parser.BodyLength()) {
    AdmitBody(m_parser.Request().m_body.capacity());
  }
}

void HttpConnection::EndBody(TimePoint now) {
  // The pause begins anew, so that the response can be written.
  m_read_began = now;
  HttpResponse refusal =
      ErrorResponse(408, R"({"error":"the body has not arrived in time"})");
  refusal.m_close = true;
  RefuseBody(std::move(refusal));
}

void HttpConnection::RefuseBody(HttpResponse refusal) {
  m_parser.DiscardBody();
  m_parser.Request().m_held.reset();
  const auto length = m_parser.BodyLength();
  refusal.m_close |= !length || *length > kMaxDroppedBodyBytes;
  Respond(m_number, std::move(refusal));
}

void HttpConnection::OnRequest() {
  m_is_body_arriving = false;
  if (m_parser.IsDiscarding()) {
    m_parser.Next();
    return;
  }
  ++m_context->m_arrivals;
  HttpRequest request = std::move(m_parser.Request());
  m_parser.Next();
  request.m_remote_ip = m_remote_ip;
  const bool is_head_request = request.m_method == "HEAD";
  const uint64_t number = m_number;
  HttpReply reply = [weak = weak_from_this(), number,
                     is_head_request](HttpResponse response) {
    const auto self = weak.lock();
    if (!self || self->m_is_closed) {
      return;
    }
    if (is_head_request) {
      response.m_body.clear();
    }
    self->Respond(number, std::move(response));
  };
  try {
    m_context->m_handler(std::move(request), std::move(reply));
  } catch (const std::exception&) {
    if (!m_is_closed && m_pipeline.IsAwaited(number)) {
      Respond(number, ErrorResponse(500, R"({"error":"internal error"})"));
    }
  }
}

void HttpConnection::OnParseFailure() {
  m_pipeline.RequestClose();
  if (m_parser.IsDiscarding()) {
    // The request has its response already.
    CloseAfterLastResponse();
    return;
  }
  const int status = m_parser.FailureStatus();
  HttpResponse response =
      ErrorResponse(status, status == 400 ? R"({"error":"not valid HTTP"})"
                                          : R"({"error":"too large"})");
  const uint64_t number =
      m_is_body_arriving ? m_number : m_pipeline.AddRequest();
  Respond(number, std::move(response));
}

void HttpConnection::Respond(uint64_t number, HttpResponse response) {
  ++*m_context->m_unwritten_responses;
  response.m_until_written = std::shared_ptr<void>(
      nullptr, [unwritten = m_context->m_unwritten_responses,
                held = std::move(response.m_until_written)](void*) mutable {
        --*unwritten;
        held.reset();
      });
  m_pipeline.SetResponse(number, std::move(response));
  Write();
}

void HttpConnection::Write() {
  if (!m_outgoing.empty()) {
    return;
  }
  while (auto response = m_pipeline.TakeNext()) {
    std::string head = FormatHead(*response);
    m_outgoing.push_back({std::move(head), std::move(response->m_body),
                          std::move(response->m_until_written)});
  }
  if (m_outgoing.empty()) {
    return;
  }
  std::vector<asio::const_buffer> buffers;
  for (const Outgoing& outgoing : m_outgoing) {
    buffers.push_back(asio::buffer(outgoing.m_head));
    buffers.push_back(asio::buffer(outgoing.m_body));
  }
  m_write_began = SteadyNow();
  asio::async_write(m_socket, buffers,
                    [self = shared_from_this()](std::error_code error, size_t) {
                      self->OnWritten(static_cast<bool>(error));
                    });
}

void HttpConnection::OnWritten(bool is_failed) {
  m_outgoing.clear();
  m_progressed = SteadyNow();
  if (m_is_closed) {
    return;
  }
  if (is_failed) {
    // The client has disconnected.
    Close();
    return;
  }
  Write();
  CloseAfterLastResponse();
  Consume();
}

void HttpConnection::CloseAfterLastResponse() {
  const bool is_last_written = !m_pipeline.MayReadMore() &&
                               m_pipeline.OpenCount() == 0 &&
                               m_outgoing.empty();
  if (!is_last_written || m_is_lingering || m_is_closed) {
    return;
  }
  m_is_lingering = true;
  m_linger_began = SteadyNow();
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

}  // namespace sorrelplank
