/// @file request_digest.cc Hashing the parts of a request.

#include <xxhash.h>

#include <string>

#include "net/http_message_type.h"
#include "proxy/request_digest_func.h"

namespace sorrelplank {

namespace {

/// A part with its length, so that no part can run into the next one.
void AppendPart(const std::string& part, std::string& parts) {
  parts += std::to_string(part.size());
  parts += ':';
  parts += part;
}

}  // namespace

RequestDigest DigestOf(const HttpRequest& request) {
  std::string parts;
  AppendPart(request.m_method, parts);
  AppendPart(request.Header("host").value_or(""), parts);
  AppendPart(request.m_target, parts);
  AppendPart(std::to_string(request.m_remote_ip), parts);
  const XXH128_hash_t body =
      XXH3_128bits(request.m_body.data(), request.m_body.size());
  AppendPart(std::to_string(body.high64), parts);
  AppendPart(std::to_string(body.low64), parts);
  const XXH128_hash_t all = XXH3_128bits(parts.data(), parts.size());
  return {.m_high = all.high64, .m_low = all.low64};
}

}  // namespace sorrelplank
