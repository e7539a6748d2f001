/// @file request_digest.cc Hashing of a request.

#include <xxhash.h>

#include <set>
#include <string>

#include "net/http_message_type.h"
#include "proxy/forwarded_fields_func.h"
#include "proxy/proxy_header_names_type.h"
#include "proxy/request_digest_func.h"

namespace sorrelplank {

namespace {

/// Appends a part with its length as prefix, so that the boundary between two
/// parts is unambiguous.
void AppendPart(const std::string& part, std::string& parts) {
  parts += std::to_string(part.size());
  parts += ':';
  parts += part;
}

/// Fields of common tracing formats; their values differ for each attempt.
const std::set<std::string> kTracingFields = {
    "traceparent",   "tracestate",   "baggage",         "b3",
    "uber-trace-id", "x-request-id", "x-correlation-id"};

bool IsTracing(const std::string& name) {
  return kTracingFields.contains(name) || name.starts_with("x-b3-");
}

}  // namespace

RequestDigest ComputeRequestDigest(const HttpRequest& request,
                                   const ProxyHeaderNames& names,
                                   const CallerIdentity& caller) {
  std::string parts;
  AppendPart(caller.m_organisation, parts);
  AppendPart(request.m_method, parts);
  AppendPart(request.m_target, parts);
  for (const auto& [name, value] : request.m_headers) {
    const bool is_hidden =
        caller.m_excludes_credentials && IsCallerIdentityField(name, names);
    const bool is_stable = IsForwardedField(name, names) &&
                           name != names.m_request_id && !IsTracing(name);
    if (is_stable && !is_hidden) {
      AppendPart(name, parts);
      AppendPart(value, parts);
    }
  }
  const XXH128_hash_t body =
      XXH3_128bits(request.m_body.data(), request.m_body.size());
  AppendPart(std::to_string(body.high64), parts);
  AppendPart(std::to_string(body.low64), parts);
  const XXH128_hash_t all = XXH3_128bits(parts.data(), parts.size());
  return {.m_high = all.high64, .m_low = all.low64};
}

}  // namespace sorrelplank
