/// @file server_connection.cc Sending of requests and parsing of responses.

#include "proxy/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "net/heap_func.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// TCP_USER_TIMEOUT: the connection is closed if the peer does not acknowledge
/// data or the connection setup for this long. It detects a peer that lost
/// power and sends no reset; single packet losses are recovered sooner.
constexpr unsigned kTcpUserTimeoutMs = 2000;
/// Fraction of the announced keep-alive time for which a connection is used, so
/// that a request does not race with the server's close.
constexpr double kKeepAliveUseFraction = 0.8;
/// Used if the server announces no keep-alive time.
constexpr Duration kDefaultKeepAlive = seconds(3);
/// Interim and late responses that may come before the expected one.
constexpr size_t kMaxOtherResponses = 16;
/// All bytes received for a request, as a multiple of the largest body, and
/// besides: chunk sizes, heads, and late responses.
constexpr size_t kReceivedBytesFactor = 2;
constexpr size_t kReceivedHeadBytes = size_t{128} * 1024;

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io,
                                   VmAddress address,
                                   IdleEndHandler idle_end)
    : m_socket(io),
      m_connect_timer(io),
      m_address(address),
      m_on_idle_end(std::move(idle_end)) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
}

void ServerConnection::Send(ServerRequest send,
                            Duration connect_timeout,
                            ReplyHandler handler) {
  m_request = std::move(send);
  m_handler = std::move(handler);
  ResetResponse();
  m_is_busy = true;
  m_is_write_done = false;
  m_written = 0;
  m_is_message_complete = false;
  m_is_too_large = false;
  m_received_bytes = 0;
  m_other_responses = 0;
  m_started = SteadyNow();
  ++m_send_count;
  if (m_is_open) {
    Write();
  } else {
    Connect(connect_timeout);
  }
}

void ServerConnection::Connect(Duration timeout) {
  std::error_code ignored;
  m_socket.open(asio::ip::tcp::v4(), ignored);
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const unsigned user_timeout = kTcpUserTimeoutMs;
  setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &user_timeout, sizeof(user_timeout));
  m_connect_timer.expires_after(timeout);
  m_connect_timer.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error && !self->m_is_open && !self->m_is_closed) {
          self->Finish(ReplyEnd::kNotSent, "connect timed out");
        }
      });
  m_socket.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(m_address.m_ip),
                              m_address.m_port),
      [self = shared_from_this()](std::error_code error) {
        if (self->m_is_closed) {
          return;
        }
        self->m_connect_timer.cancel();
        if (error) {
          self->Finish(ReplyEnd::kNotSent, "connect failed");
          return;
        }
        self->m_is_open = true;
        self->Write();
        self->Read();
      });
}

void ServerConnection::Write() {
  const auto body =
      m_request.m_body ? asio::buffer(*m_request.m_body) : asio::const_buffer();
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(m_request.m_bytes), body};
  asio::async_write(m_socket, buffers,
                    [self = shared_from_this(), number = m_send_count](
                        std::error_code error, size_t bytes) {
                      if (self->m_is_closed || !self->m_is_busy ||
                          self->m_send_count != number) {
                        return;
                      }
                      self->m_written = bytes;
                      self->m_is_write_done = !error;
                      // A request is never sent again on a connection; an idle
                      // one must not keep its body.
                      self->m_request.m_bytes = std::string();
                      self->m_request.m_body.reset();
                      if (error) {
                        self->Finish(
                            bytes == 0 ? ReplyEnd::kNotSent : ReplyEnd::kLost,
                            "write failed");
                      }
                    });
}

void ServerConnection::Read() {
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](std::error_code error, size_t bytes) {
        if (self->m_is_closed) {
          return;
        }
        if (error) {
          self->OnReadEnd(error == asio::error::eof);
          return;
        }
        self->OnRead(bytes);
      });
}

void ServerConnection::OnRead(size_t bytes) {
  if (!m_is_busy) {
    // Unsolicited bytes: no request is in progress.
    m_on_idle_end(this);
    return;
  }
  m_received_bytes += bytes;
  if (m_received_bytes > kReceivedBytesFactor * m_request.m_max_response_bytes +
                             kReceivedHeadBytes) {
    Finish(ReplyEnd::kOversized, "more bytes than any response needs");
    return;
  }
  static const http_parser_settings parser_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = &ServerConnection::OnHeaderField;
    settings.on_header_value = &ServerConnection::OnHeaderValue;
    settings.on_headers_complete = &ServerConnection::OnHeadersComplete;
    settings.on_body = &ServerConnection::OnBody;
    settings.on_message_complete = &ServerConnection::OnMessageComplete;
    return settings;
  }();
  size_t parsed = 0;
  while (parsed < bytes) {
    m_head_check.Feed({m_buffer.data() + parsed, bytes - parsed});
    if (!m_head_check.IsValid()) {
      Finish(ReplyEnd::kLost, "response head is not valid");
      return;
    }
    // The parser pauses after each message, so that a response to another
    // request is handled before the next one is parsed.
    parsed += http_parser_execute(&m_parser, &parser_settings,
                                  m_buffer.data() + parsed, bytes - parsed);
    if (m_is_message_complete) {
      m_head_check.Reset();
      http_parser_pause(&m_parser, 0);
      const bool is_last = IsResponseToCurrentRequest();
      m_must_close |= is_last && parsed < bytes;
      OnResponse();
      if (is_last || m_is_closed) {
        break;
      }
      continue;
    }
    switch (HTTP_PARSER_ERRNO(&m_parser)) {
      case HPE_OK:
        break;
      case HPE_HEADER_OVERFLOW:
        Finish(ReplyEnd::kOversized, "head too large");
        return;
      default:
        Finish(m_is_too_large ? ReplyEnd::kOversized : ReplyEnd::kLost,
               m_is_too_large ? "response too large"
                              : "response is not valid HTTP");
        return;
    }
  }
  if (!m_is_closed && m_is_busy && m_request.m_on_body) {
    m_request.m_on_body(m_response.m_body.capacity());
  }
  if (!m_is_closed) {
    Read();
  }
}

void ServerConnection::OnReadEnd(bool is_eof) {
  if (!m_is_busy) {
    m_on_idle_end(this);
    return;
  }
  // A response without a length ends when the connection is closed; if the
  // connection is reset instead, the response is incomplete.
  if (is_eof && m_response.m_status != 0 && !m_response.m_headers.empty()) {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_complete = &ServerConnection::OnMessageComplete;
    http_parser_execute(&m_parser, &settings, nullptr, 0);
    if (m_is_message_complete && IsResponseToCurrentRequest()) {
      m_must_close = true;
      OnResponse();
      return;
    }
  }
  Finish(ReplyEnd::kLost, is_eof ? "closed before the response was complete"
                                 : "connection error");
}

bool ServerConnection::IsResponseToCurrentRequest() const {
  if (m_parser.status_code / 100 == 1) {
    return false;
  }
  const std::string* id =
      FindField(m_response.m_headers, m_request.m_request_id_name);
  if (id != nullptr) {
    return *id == m_request.m_request_id;
  }
  // An error response without an id to the first request of a connection can
  // belong to no other request.
  return m_send_count == 1 && m_parser.status_code >= 300;
}

void ServerConnection::ResetResponse() {
  m_response = HttpResponse();
  m_response.m_content_type.clear();
  m_request.m_held.Release();
}

void ServerConnection::OnResponse() {
  m_is_message_complete = false;
  if (!IsResponseToCurrentRequest()) {
    // An interim response, or a late one to an earlier request: the expected
    // one may still follow. After a late response the connection is not reused.
    m_must_close |= m_parser.status_code / 100 != 1;
    ResetResponse();
    if (++m_other_responses > kMaxOtherResponses) {
      Finish(ReplyEnd::kOversized, "too many responses to other requests");
    }
    return;
  }
  m_response.m_status = m_parser.status_code;
  UpdateKeepAlive();
  // If the response arrives before the request was sent completely, the rest of
  // the request is still pending on the connection.
  m_must_close |= !m_is_write_done;
  Finish(ReplyEnd::kComplete, "");
}

void ServerConnection::UpdateKeepAlive() {
  const TimePoint now = SteadyNow();
  m_idle_since = now;
  m_usable_until = now + kDefaultKeepAlive;
  m_must_close |= http_should_keep_alive(&m_parser) == 0;
  const std::string* field = FindField(m_response.m_headers, "keep-alive");
  if (field == nullptr) {
    return;
  }
  const size_t at = field->find("timeout=");
  if (at == std::string::npos) {
    return;
  }
  const auto announced_time = seconds(std::atoi(field->c_str() + at + 8));
  m_usable_until = now + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(announced_time) *
                             kKeepAliveUseFraction);
}

void ServerConnection::Finish(ReplyEnd end, const char* problem) {
  ServerReply reply;
  reply.m_end = end;
  reply.m_problem = problem;
  reply.m_latency = SteadyNow() - m_started;
  if (end != ReplyEnd::kComplete) {
    // A part of a response is of no use, and can be large.
    ResetResponse();
  }
  reply.m_response = std::move(m_response);
  reply.m_held = std::move(m_request.m_held);
  reply.m_is_reused_connection = m_send_count > 1;
  m_is_busy = false;
  const ReplyHandler handler = std::exchange(m_handler, nullptr);
  if (end != ReplyEnd::kComplete || m_must_close) {
    m_must_close = true;
    Close();
  }
  if (handler) {
    handler(std::move(reply));
  }
}

void ServerConnection::EndOversized(const char* problem) {
  Finish(ReplyEnd::kOversized, problem);
}

void ServerConnection::Close() {
  m_is_closed = true;
  m_is_open = false;
  m_handler = nullptr;
  ResetResponse();
  m_connect_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

int ServerConnection::OnHeaderField(http_parser* parser,
                                    const char* at,
                                    size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  auto& headers = self->m_response.m_headers;
  // The head has been checked already, the fields after a body have not.
  if (!std::all_of(at, at + length, IsTokenCharacter)) {
    return 1;
  }
  if (headers.empty() || self->m_has_value_begun) {
    headers.emplace_back();
    self->m_has_value_begun = false;
  }
  headers.back().first += ToLower(std::string(at, length));
  return 0;
}

int ServerConnection::OnHeaderValue(http_parser* parser,
                                    const char* at,
                                    size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  self->m_response.m_headers.back().second.append(at, length);
  self->m_has_value_begun = true;
  return 0;
}

int ServerConnection::OnHeadersComplete(http_parser* parser) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  return self->m_request.m_is_head ? 1 : 0;
}

int ServerConnection::OnBody(http_parser* parser,
                             const char* at,
                             size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  std::string& body = self->m_response.m_body;
  if (body.size() + length > self->m_request.m_max_response_bytes) {
    self->m_is_too_large = true;
    return 1;
  }
  if (body.capacity() - body.size() < length) {
    body.reserve(GrownCapacity(body.size() + length));
  }
  body.append(at, length);
  self->m_request.m_held.Grow(length);
  return 0;
}

int ServerConnection::OnMessageComplete(http_parser* parser) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  self->m_is_message_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace sorrelplank
