/// @file json_text.cc Depth check before parsing.

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "config/json_text_func.h"
#include "core/shorten_text_func.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

/// Bytes of a value that are shown.
constexpr size_t kMaxShownBytes = 100;

}  // namespace

JsonDepthError::JsonDepthError()
    : std::runtime_error(
          fmt::format("nested more than {} levels deep", kMaxJsonDepth)) {}

bool IsNestedTooDeeply(const std::string& text) {
  size_t depth = 0;
  bool is_in_string = false;
  for (size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (is_in_string) {
      if (c == '\\') {
        ++at;
      }
      is_in_string = c != '"';
      continue;
    }
    if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

json ParseJsonText(const std::string& text) {
  if (IsNestedTooDeeply(text)) {
    throw JsonDepthError();
  }
  return json::parse(text);
}

json TryParseJsonText(const std::string& text) {
  return IsNestedTooDeeply(text) ? json(json::value_t::discarded)
                                 : json::parse(text, nullptr, false);
}

std::string DescribeJson(const json& value) {
  if (value.is_structured()) {
    return fmt::format("an {} of {}", value.type_name(), value.size());
  }
  const bool is_text = value.is_string();
  const json shown = is_text
                         ? json(ShortenText(value.get_ref<const std::string&>(),
                                            kMaxShownBytes))
                         : value;
  return shown.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace sorrelplank
