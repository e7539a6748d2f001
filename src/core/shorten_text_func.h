/// @file shorten_text_func.h Bounds the length of text for logs and errors.

#ifndef SORRELPLANK_CORE_SHORTEN_TEXT_FUNC_H_
#define SORRELPLANK_CORE_SHORTEN_TEXT_FUNC_H_

#include <cstddef>
#include <string>

namespace sorrelplank {

/// Returns the text, or its first max_bytes bytes and a note of its length.
std::string ShortenText(const std::string& text, size_t max_bytes);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_SHORTEN_TEXT_FUNC_H_
