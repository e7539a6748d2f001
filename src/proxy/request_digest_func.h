/// @file request_digest_func.h The digest of a request that a client sent.

#ifndef SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
#define SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_

#include <string>

#include "core/request_digest_type.h"

namespace sorrelplank {

struct HttpRequest;
struct ProxyNames;

/// Who asks, as the backend server is told.
struct CallerIdentity {
  /// Empty where it names none.
  std::string m_organisation;
  /// Whether the fields that the client sent about itself stay with us.
  bool m_hides_key = false;
};

/// Of all that a backend server gets of the request: method, path with query,
/// header fields and the whole body; but not of what differs between two
/// attempts at it: its id, the time left and fields for tracing.
///
/// Nor of the client's address: one request is repeated from several. A client
/// can pass for another one only by sending what that one sends, credentials
/// included, and servers would take it for the same as well. Where
/// organisations have keys, the organisation counts in place of the key.
RequestDigest DigestOf(const HttpRequest& request,
                       const ProxyNames& names,
                       const CallerIdentity& caller = {});

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
