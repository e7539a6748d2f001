/// @file request_digest_type.h Digest that identifies repeats of a request.

#ifndef SORRELPLANK_CORE_REQUEST_DIGEST_TYPE_H_
#define SORRELPLANK_CORE_REQUEST_DIGEST_TYPE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sorrelplank {

/// 128-bit hash of the content of a request and of its caller. It stays the
/// same when the caller sends the request again, at any entry VM.
struct RequestDigest {
  uint64_t m_high = 0;
  uint64_t m_low = 0;

  auto operator<=>(const RequestDigest&) const = default;
};

/// Returns 32 lower-case hexadecimal digits.
std::string FormatDigest(const RequestDigest& digest);

/// Returns nothing unless the text has the format of FormatDigest.
std::optional<RequestDigest> ParseDigest(const std::string& text);

}  // namespace sorrelplank

template <>
struct std::hash<sorrelplank::RequestDigest> {
  std::size_t operator()(const sorrelplank::RequestDigest& digest) const {
    return static_cast<std::size_t>(digest.m_low);
  }
};

#endif  // SORRELPLANK_CORE_REQUEST_DIGEST_TYPE_H_
