/// @file http_message.cc Helpers for HTTP messages.

#include "net/http_message_type.h"

#include <algorithm>
#include <cctype>

namespace sorrelplank {

namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower =
      static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t at = 0; at < text.size(); ++at) {
    const bool is_escape = text[at] == '%' && at + 2 < text.size() &&
                           HexDigit(text[at + 1]) >= 0 &&
                           HexDigit(text[at + 2]) >= 0;
    if (!is_escape) {
      out += text[at];
      continue;
    }
    out +=
        static_cast<char>(HexDigit(text[at + 1]) * 16 + HexDigit(text[at + 2]));
    at += 2;
  }
  return out;
}

}  // namespace

std::optional<std::string> HttpRequest::Header(const std::string& name) const {
  const auto it = m_headers.find(name);
  if (it == m_headers.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::map<std::string, std::string> HttpRequest::Query() const {
  return ParseQuery(m_raw_query);
}

const std::string* FindField(const HttpHeaders& headers,
                             const std::string& name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [&](const auto& field) { return field.first == name; });
  return it == headers.end() ? nullptr : &it->second;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> values;
  size_t start = 0;
  while (start < query.size()) {
    const size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      values[Unescape(pair.substr(0, equals))] =
          Unescape(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return values;
}

}  // namespace sorrelplank
