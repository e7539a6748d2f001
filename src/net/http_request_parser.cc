/// @file http_request_parser.cc Callbacks of http_parser.

#include "net/http_request_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/heap_func.h"

namespace sorrelplank {

namespace {

constexpr size_t kMaxFieldCount = 100;
constexpr size_t kMaxFieldNameBytes = 1024;

HttpRequestParser& Self(http_parser* parser) {
  return *static_cast<HttpRequestParser*>(parser->data);
}

}  // namespace

HttpRequestParser::HttpRequestParser(HttpLimits limits) : m_limits(limits) {
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
}

const http_parser_settings& HttpRequestParser::ParserSettings() {
  static const http_parser_settings parser_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &HttpRequestParser::OnBegin;
    settings.on_url = &HttpRequestParser::OnTarget;
    settings.on_header_field = &HttpRequestParser::OnFieldName;
    settings.on_header_value = &HttpRequestParser::OnFieldValue;
    settings.on_headers_complete = &HttpRequestParser::OnHeadComplete;
    settings.on_body = &HttpRequestParser::OnBody;
    settings.on_message_complete = &HttpRequestParser::OnComplete;
    return settings;
  }();
  return parser_settings;
}

size_t HttpRequestParser::Parse(std::string_view bytes) {
  if (m_state == State::kHeadDone) {
    m_state = State::kBody;
  }
  if (m_state == State::kIdle || m_state == State::kHead) {
    m_head_check.Feed(bytes);
    if (!m_head_check.IsValid()) {
      Fail(400);
      return bytes.size();
    }
  }
  const size_t parsed = http_parser_execute(&m_parser, &ParserSettings(),
                                            bytes.data(), bytes.size());
  m_head_bytes += m_state == State::kHead ? parsed : 0;
  switch (HTTP_PARSER_ERRNO(&m_parser)) {
    case HPE_OK:
      break;
    case HPE_PAUSED:
      http_parser_pause(&m_parser, 0);
      break;
    case HPE_HEADER_OVERFLOW:
      Fail(431);
      break;
    default:
      m_state = State::kFailed;
      break;
  }
  return parsed;
}

void HttpRequestParser::Next() {
  m_state = State::kIdle;
  m_head_check.Reset();
  m_request = HttpRequest();
  m_field_name.clear();
  m_field_value.clear();
  m_has_value_begun = false;
  m_field_count = 0;
  m_head_bytes = 0;
  m_is_discarding = false;
}

void HttpRequestParser::DiscardBody() {
  m_is_discarding = true;
  m_request.m_body = std::string();
}

int HttpRequestParser::Fail(int status) {
  m_state = State::kFailed;
  m_failure_status = status;
  return -1;
}

int HttpRequestParser::OnBegin(http_parser* parser) {
  Self(parser).m_state = State::kHead;
  return 0;
}

int HttpRequestParser::OnTarget(http_parser* parser,
                                const char* at,
                                size_t length) {
  HttpRequestParser& self = Self(parser);
  self.m_request.m_target.append(at, length);
  const bool is_too_long =
      self.m_request.m_target.size() > self.m_limits.m_max_field_bytes;
  return is_too_long ? self.Fail(431) : 0;
}

int HttpRequestParser::OnFieldName(http_parser* parser,
                                   const char* at,
                                   size_t length) {
  HttpRequestParser& self = Self(parser);
  if (self.m_has_value_begun) {
    self.AddField();
  }
  self.m_field_name.append(at, length);
  const bool is_too_long = self.m_field_name.size() > kMaxFieldNameBytes ||
                           self.m_field_count == kMaxFieldCount;
  return is_too_long ? self.Fail(431) : 0;
}

int HttpRequestParser::OnFieldValue(http_parser* parser,
                                    const char* at,
                                    size_t length) {
  HttpRequestParser& self = Self(parser);
  self.m_has_value_begun = true;
  self.m_field_value.append(at, length);
  const bool is_too_long =
      self.m_field_value.size() > self.m_limits.m_max_field_bytes;
  return is_too_long ? self.Fail(431) : 0;
}

void HttpRequestParser::AddField() {
  ++m_field_count;
  // Fields after the body describe nothing that is forwarded.
  if (m_state == State::kHead) {
    std::string& value = m_request.m_headers[ToLower(std::move(m_field_name))];
    value += value.empty() ? m_field_value : ", " + m_field_value;
  }
  m_field_name.clear();
  m_field_value.clear();
  m_has_value_begun = false;
}

int HttpRequestParser::OnHeadComplete(http_parser* parser) {
  HttpRequestParser& self = Self(parser);
  if (self.m_has_value_begun) {
    self.AddField();
  }
  HttpRequest& request = self.m_request;
  request.m_method = http_method_str(static_cast<http_method>(parser->method));
  const std::string target =
      request.m_target.substr(0, request.m_target.find('#'));
  const size_t path_end = std::min(target.find('?'), target.size());
  request.m_path = target.substr(0, path_end);
  if (path_end < target.size()) {
    request.m_raw_query = target.substr(path_end + 1);
  }
  const bool is_chunked = (parser->flags & F_CHUNKED) != 0;
  const bool has_length =
      parser->content_length != std::numeric_limits<uint64_t>::max();
  self.m_has_body = is_chunked || (has_length && parser->content_length > 0);
  self.m_body_length.reset();
  if (!is_chunked) {
    self.m_body_length = has_length ? parser->content_length : 0;
  }
  self.m_keeps_alive = http_should_keep_alive(parser) != 0;
  // No other protocol is offered; the request is served as if it had not asked.
  parser->upgrade = 0;
  self.m_state = State::kHeadDone;
  http_parser_pause(parser, 1);
  return 0;
}

int HttpRequestParser::OnBody(http_parser* parser,
                              const char* at,
                              size_t length) {
  HttpRequestParser& self = Self(parser);
  if (self.m_is_discarding) {
    return 0;
  }
  std::string& body = self.m_request.m_body;
  const size_t size = body.size() + length;
  if (size > self.m_limits.m_max_body_bytes) {
    return self.Fail(413);
  }
  if (size > body.capacity()) {
    body.reserve(GrownCapacity(size));
  }
  body.append(at, length);
  return 0;
}

int HttpRequestParser::OnComplete(http_parser* parser) {
  Self(parser).m_state = State::kComplete;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace sorrelplank
