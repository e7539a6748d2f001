/// @file caller_key.cc Parsing of client credentials.

#include "net/http_message_type.h"
#include "proxy/caller_key_func.h"

namespace sorrelplank {

namespace {

constexpr const char* kScheme = "bearer";
constexpr const char* kBlanks = " \t";

}  // namespace

std::optional<std::string> ParseBearerKey(const std::string& credentials) {
  const size_t scheme_end = credentials.find_first_of(kBlanks);
  if (scheme_end == std::string::npos ||
      ToLower(credentials.substr(0, scheme_end)) != kScheme) {
    return std::nullopt;
  }
  const size_t begin = credentials.find_first_not_of(kBlanks, scheme_end);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const size_t last = credentials.find_last_not_of(kBlanks);
  return credentials.substr(begin, last - begin + 1);
}

}  // namespace sorrelplank
