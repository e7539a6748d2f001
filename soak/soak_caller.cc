/// @file soak_caller.cc Sends requests and parses responses strictly.

#include "soak/soak_caller.h"

#include <fmt/format.h>

#include <utility>

#include "platform/wire_names.h"
#include "soak/ledger.h"
#include "soak/soak_keys.h"

namespace sorrelplank::soak {

namespace {

/// Minimum pause between two requests of a caller; the maximum is twice this.
constexpr int kMinPauseMs = 15;
/// Timeout of a request, sent along as its deadline.
constexpr Duration kRequestTimeout = seconds(3);
/// The caller closes its connection this long after the timeout.
constexpr Duration kTimeoutSlack = milliseconds(500);
/// Number of distinct objects that requests address.
constexpr int kObjectCount = 40;

}  // namespace

SoakCaller::SoakCaller(asio::io_context& io,
                       Ledger& ledger,
                       std::string name,
                       TargetPicker pick,
                       ConnectionLostHandler on_connection_lost)
    : m_ledger(ledger),
      m_name(std::move(name)),
      m_pick(std::move(pick)),
      m_on_connection_lost(std::move(on_connection_lost)),
      m_socket(io),
      m_timer(io),
      m_timeout_timer(io),
      m_random(static_cast<unsigned>(std::hash<std::string>()(m_name))) {}

void SoakCaller::StartNext() {
  if (m_is_stopped) {
    return;
  }
  m_id = m_name + "-" + std::to_string(++m_count);
  if (m_is_open) {
    Send();
  } else {
    Connect();
  }
}

void SoakCaller::Connect() {
  m_target = m_pick();
  m_socket.async_connect(
      m_target.m_address, [self = shared_from_this()](std::error_code error) {
        if (!error) {
          self->m_is_open = true;
          self->Send();
          return;
        }
        self->Close();
        CallerRequest request;
        request.m_vm = self->m_target.m_vm;
        self->m_ledger.RecordSent(self->m_id, std::move(request));
        self->m_ledger.RecordEnd(self->m_id, CallerOutcome::kNotAccepted);
        self->PauseThenStartNext();
      });
}

void SoakCaller::Send() {
  const ProxyHeaderNames names = platform::HeaderNames();
  const bool is_read = m_random() % 2 == 0;
  const std::string path = is_read ? "/read/" + m_id : "/write/" + m_id;
  const std::string body = is_read ? "" : "body of " + m_id;
  const SoakKey& key = KeyAt(m_random() % 100);
  m_ledger.RecordSent(m_id, {.m_vm = m_target.m_vm,
                             .m_path = path,
                             .m_body = body,
                             .m_idempotent = is_read,
                             .m_organisation = key.m_organisation});
  m_bytes = fmt::format(
      "{} {} HTTP/1.1\r\nHost: soak.example\r\n{}: Bearer {}\r\n{}: forged\r\n"
      "{}: {}\r\n{}: {}\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{}",
      is_read ? "GET" : "POST", path, names.m_credentials, key.m_key,
      names.m_organisation, names.m_request_id, m_id, names.m_deadline_ms,
      kRequestTimeout / milliseconds(1), names.m_object,
      m_random() % kObjectCount, body.size(), body);
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
  m_is_complete = false;
  m_response = HttpResponse();
  m_timeout_timer.expires_after(kRequestTimeout + kTimeoutSlack);
  m_timeout_timer.async_wait(
      [self = shared_from_this(), id = m_id](std::error_code error) {
        // The response may have been handled since the timer expired.
        if (!error && self->m_id == id) {
          self->OnEnd();
        }
      });
  asio::async_write(m_socket, asio::buffer(m_bytes),
                    [self = shared_from_this()](std::error_code, size_t) {});
  Read();
}

void SoakCaller::Read() {
  m_socket.async_read_some(asio::buffer(m_buffer),
                           [self = shared_from_this(), id = m_id](
                               std::error_code error, size_t bytes) {
                             if (self->m_id != id) {
                               return;
                             }
                             if (error) {
                               self->OnEnd();
                               return;
                             }
                             self->OnBytes(bytes);
                           });
}

void SoakCaller::OnBytes(size_t bytes) {
  static const http_parser_settings parser_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = &SoakCaller::OnField;
    settings.on_header_value = &SoakCaller::OnValue;
    settings.on_body = &SoakCaller::OnBody;
    settings.on_message_complete = &SoakCaller::OnComplete;
    return settings;
  }();
  const size_t parsed =
      http_parser_execute(&m_parser, &parser_settings, m_buffer.data(), bytes);
  if (parsed < bytes) {
    m_ledger.Breach("own answer", m_id,
                    "received bytes that are not a valid response");
    OnEnd();
  } else if (m_is_complete) {
    OnResponse();
  } else {
    Read();
  }
}

void SoakCaller::OnResponse() {
  m_timeout_timer.cancel();
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string* id = FindField(m_response.m_headers, names.m_request_id);
  m_ledger.RecordResponse(
      m_id,
      {.m_status = static_cast<int>(m_parser.status_code),
       .m_has_stamp = FindField(m_response.m_headers, names.m_stamp) != nullptr,
       .m_request_id = id == nullptr ? "" : *id,
       .m_body = m_response.m_body});
  if (http_should_keep_alive(&m_parser) == 0) {
    Close();
  }
  PauseThenStartNext();
}

void SoakCaller::OnEnd() {
  m_timeout_timer.cancel();
  Close();
  m_on_connection_lost(m_id);
  m_ledger.RecordEnd(m_id, CallerOutcome::kConnectionLost);
  PauseThenStartNext();
}

void SoakCaller::Close() {
  std::error_code ignored;
  m_socket.close(ignored);
  m_is_open = false;
}

void SoakCaller::PauseThenStartNext() {
  m_id.clear();
  std::uniform_int_distribution<int> distribution(kMinPauseMs, 2 * kMinPauseMs);
  m_timer.expires_after(milliseconds(distribution(m_random)));
  m_timer.async_wait(
      [self = shared_from_this()](std::error_code) { self->StartNext(); });
}

int SoakCaller::OnField(http_parser* parser, const char* at, size_t length) {
  auto* self = static_cast<SoakCaller*>(parser->data);
  self->m_response.m_headers.emplace_back(ToLower(std::string(at, length)), "");
  return 0;
}

int SoakCaller::OnValue(http_parser* parser, const char* at, size_t length) {
  auto* self = static_cast<SoakCaller*>(parser->data);
  self->m_response.m_headers.back().second.append(at, length);
  return 0;
}

int SoakCaller::OnBody(http_parser* parser, const char* at, size_t length) {
  static_cast<SoakCaller*>(parser->data)->m_response.m_body.append(at, length);
  return 0;
}

int SoakCaller::OnComplete(http_parser* parser) {
  static_cast<SoakCaller*>(parser->data)->m_is_complete = true;
  return 0;
}

}  // namespace sorrelplank::soak
