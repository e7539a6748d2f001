/// @file json_text_func.h Parsing of JSON that other programs wrote.

#ifndef SORRELPLANK_CONFIG_JSON_TEXT_FUNC_H_
#define SORRELPLANK_CONFIG_JSON_TEXT_FUNC_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

namespace sorrelplank {

/// Maximum depth of nested arrays and objects. Copying, comparing and printing
/// a value recurse once a level; this bounds their use of the stack.
constexpr size_t kMaxJsonDepth = 64;

/// JSON text is nested more deeply than kMaxJsonDepth.
class JsonDepthError : public std::runtime_error {
 public:
  JsonDepthError();
};

bool IsNestedTooDeeply(const std::string& text);

/// Throws JsonDepthError, or nlohmann::json::exception if the text is not JSON.
nlohmann::json ParseJsonText(const std::string& text);

/// As ParseJsonText(), but returns a discarded value instead of throwing.
nlohmann::json TryParseJsonText(const std::string& text);

/// A value for an error message: the type of arrays and objects, and the
/// beginning of others.
std::string DescribeJson(const nlohmann::json& value);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_JSON_TEXT_FUNC_H_
