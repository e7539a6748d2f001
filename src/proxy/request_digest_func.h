/// @file request_digest_func.h Digest that identifies a client's request.

#ifndef SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
#define SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_

#include <string>

#include "core/request_digest_type.h"

namespace sorrelplank {

struct HttpRequest;
struct ProxyHeaderNames;

/// The caller as the backend server sees it.
struct CallerIdentity {
  /// Empty if the caller belongs to none.
  std::string m_organisation;
  /// Whether the client's fields about its identity are not forwarded.
  bool m_excludes_credentials = false;
};

/// Computes a digest of everything that a backend server receives of the
/// request: method, path with query, header fields and the whole body. Left out
/// is what differs between two attempts: request id, time left and tracing
/// fields.
///
/// The client's address is left out as well, since the same request may be
/// repeated from several addresses. A client can only produce the digest of
/// another one by sending the same content, credentials included, and then
/// servers cannot tell them apart either. If organisations have keys, the
/// organisation is hashed instead of the key.
RequestDigest ComputeRequestDigest(const HttpRequest& request,
                                   const ProxyHeaderNames& names,
                                   const CallerIdentity& caller = {});

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
