/// @file server_connection.cc Sending, and strict reading of answers.

#include "proxy/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Data or an opening that a peer does not acknowledge for this long ends the
/// connection. A peer without power resets nothing; losses of single packets
/// are mended sooner.
constexpr unsigned kUserTimeoutMs = 2000;
/// A connection is used for this part of the time that the server promises, so
/// that our request does not cross its close.
constexpr double kKeepPart = 0.8;
/// Taken where the server promises no time.
constexpr Duration kUnstatedKeep = seconds(3);

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io,
                                   VmAddress address,
                                   IdleEndHandler idle_end)
    : m_socket(io),
      m_connect_timer(io),
      m_address(address),
      m_idle_end(std::move(idle_end)) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
}

void ServerConnection::Send(ServerSend send,
                            Duration connect_timeout,
                            ReplyHandler handler) {
  m_send = std::move(send);
  m_handler = std::move(handler);
  m_response = HttpResponse();
  m_response.m_content_type.clear();
  m_is_busy = true;
  m_write_done = false;
  m_written = 0;
  m_message_complete = false;
  m_too_large = false;
  m_started = SteadyNow();
  ++m_sends;
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
  const unsigned user_timeout = kUserTimeoutMs;
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
  asio::async_write(
      m_socket, asio::buffer(m_send.m_bytes),
      [self = shared_from_this(), number = m_sends](std::error_code error,
                                                    size_t bytes) {
        if (self->m_is_closed || !self->m_is_busy || self->m_sends != number) {
          return;
        }
        self->m_written = bytes;
        self->m_write_done = !error;
        if (error) {
          self->Finish(bytes == 0 ? ReplyEnd::kNotSent : ReplyEnd::kLost,
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
    // Nothing was asked: the bytes belong to no request.
    m_idle_end(this);
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
    // Stops behind each message, so that an answer of another request is seen
    // before the next one begins.
    parsed += http_parser_execute(&m_parser, &parser_settings,
                                  m_buffer.data() + parsed, bytes - parsed);
    if (m_message_complete) {
      http_parser_pause(&m_parser, 0);
      const bool is_last = IsOurs();
      m_is_spoilt |= is_last && parsed < bytes;
      OnAnswer();
      if (is_last || m_is_closed) {
        break;
      }
      continue;
    }
    if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
      Finish(ReplyEnd::kLost,
             m_too_large ? "answer too large" : "answer is no HTTP");
      return;
    }
  }
  if (!m_is_closed) {
    Read();
  }
}

void ServerConnection::OnReadEnd(bool is_clean) {
  if (!m_is_busy) {
    m_idle_end(this);
    return;
  }
  // An answer without a length ends with its connection; one that is reset on
  // the way is not whole.
  if (is_clean && m_response.m_status != 0 && !m_response.m_headers.empty()) {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_complete = &ServerConnection::OnMessageComplete;
    http_parser_execute(&m_parser, &settings, nullptr, 0);
    if (m_message_complete && IsOurs()) {
      m_is_spoilt = true;
      OnAnswer();
      return;
    }
  }
  Finish(ReplyEnd::kLost,
         is_clean ? "closed without a whole answer" : "connection broke");
}

bool ServerConnection::IsOurs() const {
  if (m_parser.status_code / 100 == 1) {
    return false;
  }
  const std::string* id =
      FindField(m_response.m_headers, m_send.m_request_id_name);
  if (id != nullptr) {
    return *id == m_send.m_request_id;
  }
  // On a connection's first request there is no other that it could belong to.
  return m_sends == 1 && m_parser.status_code >= 300;
}

void ServerConnection::OnAnswer() {
  m_message_complete = false;
  if (!IsOurs()) {
    // An interim answer, or a late one to an earlier request: ours may still
    // follow. After a stray answer the connection is not used again.
    m_is_spoilt |= m_parser.status_code / 100 != 1;
    m_response = HttpResponse();
    m_response.m_content_type.clear();
    return;
  }
  m_response.m_status = m_parser.status_code;
  NoteKeepAlive();
  // An answer that comes before the request was sent whole leaves the rest of
  // the request's body due on the connection.
  m_is_spoilt |= !m_write_done;
  Finish(ReplyEnd::kWhole, "");
}

void ServerConnection::NoteKeepAlive() {
  const TimePoint now = SteadyNow();
  m_idle_since = now;
  m_usable_until = now + kUnstatedKeep;
  m_is_spoilt |= http_should_keep_alive(&m_parser) == 0;
  const std::string* field = FindField(m_response.m_headers, "keep-alive");
  if (field == nullptr) {
    return;
  }
  const size_t at = field->find("timeout=");
  if (at == std::string::npos) {
    return;
  }
  const auto promised = seconds(std::atoi(field->c_str() + at + 8));
  m_usable_until =
      now + std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(promised) * kKeepPart);
}

void ServerConnection::Finish(ReplyEnd end, const char* problem) {
  ServerReply reply;
  reply.m_end = end;
  reply.m_problem = problem;
  reply.m_latency = SteadyNow() - m_started;
  reply.m_response = std::move(m_response);
  reply.m_kept_connection = m_sends > 1;
  m_is_busy = false;
  const ReplyHandler handler = std::exchange(m_handler, nullptr);
  if (end != ReplyEnd::kWhole || m_is_spoilt) {
    m_is_spoilt = true;
    Close();
  }
  if (handler) {
    handler(std::move(reply));
  }
}

void ServerConnection::Close() {
  m_is_closed = true;
  m_is_open = false;
  m_handler = nullptr;
  m_connect_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

int ServerConnection::OnHeaderField(http_parser* parser,
                                    const char* at,
                                    size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  auto& headers = self->m_response.m_headers;
  if (headers.empty() || self->m_value_begun) {
    headers.emplace_back();
    self->m_value_begun = false;
  }
  headers.back().first += ToLower(std::string(at, length));
  return 0;
}

int ServerConnection::OnHeaderValue(http_parser* parser,
                                    const char* at,
                                    size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  self->m_response.m_headers.back().second.append(at, length);
  self->m_value_begun = true;
  return 0;
}

int ServerConnection::OnHeadersComplete(http_parser* parser) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  return self->m_send.m_is_head ? 1 : 0;
}

int ServerConnection::OnBody(http_parser* parser,
                             const char* at,
                             size_t length) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  std::string& body = self->m_response.m_body;
  if (body.size() + length > self->m_send.m_most_answer_bytes) {
    self->m_too_large = true;
    return 1;
  }
  body.append(at, length);
  return 0;
}

int ServerConnection::OnMessageComplete(http_parser* parser) {
  auto* self = static_cast<ServerConnection*>(parser->data);
  self->m_message_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace sorrelplank
