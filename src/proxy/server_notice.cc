/// @file server_notice.cc Parsing of notices in response header fields.

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "net/http_message_type.h"
#include "proxy/proxy_header_names_type.h"
#include "proxy/server_notice_func.h"

namespace sorrelplank {

namespace {

constexpr int kHttpServiceUnavailable = 503;
constexpr const char* kRetryAfter = "retry-after";
/// A server that asks for a longer pause is tried again after this one, and may
/// then ask again.
constexpr double kMaxPauseS = 3600;

/// Parses a non-negative decimal number without sign and exponent.
std::optional<double> ParseDecimal(std::string text) {
  const size_t last = text.find_last_not_of(" \t");
  text.resize(last == std::string::npos ? 0 : last + 1);
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool is_valid = error == std::errc() && stop == end &&
                        std::isfinite(value) && !std::signbit(value);
  return is_valid ? std::optional(value) : std::nullopt;
}

bool IsOneOf(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void ReadLimit(const std::string& value, ServerNotice& notice) {
  const auto limit = ParseDecimal(value);
  notice.m_is_malformed |= !limit;
  if (!limit) {
    return;
  }
  notice.m_max_per_second =
      std::min(*limit, notice.m_max_per_second.value_or(*limit));
}

void ReadLeaving(const std::string& value, ServerNotice& notice) {
  const auto flag = ParseDecimal(value);
  notice.m_is_malformed |= flag != 0 && flag != 1;
  notice.m_is_leaving |= flag == 1;
}

void ReadPause(const std::string& value, ServerNotice& notice) {
  const auto pause_s = ParseDecimal(value);
  notice.m_is_malformed |= !pause_s;
  if (!pause_s) {
    return;
  }
  const auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(*pause_s, kMaxPauseS)));
  notice.m_pause = std::max(pause, notice.m_pause.value_or(pause));
}

}  // namespace

ServerNotice ParseServerNotice(const HttpResponse& answer,
                               const ProxyHeaderNames& names) {
  ServerNotice notice;
  for (const auto& [name, value] : answer.m_headers) {
    if (IsOneOf(names.m_rate_limit, name)) {
      ReadLimit(value, notice);
    } else if (IsOneOf(names.m_leaving, name)) {
      ReadLeaving(value, notice);
    } else if (answer.m_status == kHttpServiceUnavailable &&
               name == kRetryAfter) {
      ReadPause(value, notice);
    }
  }
  return notice;
}

}  // namespace sorrelplank
