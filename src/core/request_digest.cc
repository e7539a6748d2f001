/// @file request_digest.cc Hexadecimal text of digests.

#include <array>
#include <charconv>

#include "core/request_digest_type.h"

namespace sorrelplank {

namespace {

constexpr size_t kHexDigitsPerHalf = 16;
constexpr int kHexBase = 16;

void AppendHalf(uint64_t half, std::string& text) {
  std::array<char, kHexDigitsPerHalf> digits{};
  const char* const end =
      std::to_chars(digits.data(), digits.data() + digits.size(), half,
                    kHexBase)
          .ptr;
  const auto count = static_cast<size_t>(end - digits.data());
  text.append(kHexDigitsPerHalf - count, '0');
  text.append(digits.data(), count);
}

uint64_t ParseHalf(const char* begin) {
  uint64_t half = 0;
  std::from_chars(begin, begin + kHexDigitsPerHalf, half, kHexBase);
  return half;
}

}  // namespace

std::string FormatDigest(const RequestDigest& digest) {
  std::string text;
  AppendHalf(digest.m_high, text);
  AppendHalf(digest.m_low, text);
  return text;
}

std::optional<RequestDigest> ParseDigest(const std::string& text) {
  const bool has_digits_only =
      text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (text.size() != 2 * kHexDigitsPerHalf || !has_digits_only) {
    return std::nullopt;
  }
  return RequestDigest{.m_high = ParseHalf(text.data()),
                       .m_low = ParseHalf(text.data() + kHexDigitsPerHalf)};
}

}  // namespace sorrelplank
