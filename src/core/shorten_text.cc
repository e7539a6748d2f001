/// @file shorten_text.cc Shortening of text.

#include <fmt/format.h>

#include "core/shorten_text_func.h"

namespace sorrelplank {

std::string ShortenText(const std::string& text, size_t max_bytes) {
  if (text.size() <= max_bytes) {
    return text;
  }
  return fmt::format("{}... ({} bytes)", text.substr(0, max_bytes),
                     text.size());
}

}  // namespace sorrelplank
