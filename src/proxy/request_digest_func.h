/// @file request_digest_func.h The digest of a request that a client sent.

#ifndef SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
#define SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_

#include "core/request_digest_type.h"

namespace sorrelplank {

struct HttpRequest;

/// Of method, host, path with query, the client's address, and the whole body.
/// What differs between two attempts at the same request is left out: its id,
/// the time left, the connection and its port. The address is the only part
/// that another client can't choose, so no client can pass for another.
RequestDigest DigestOf(const HttpRequest& request);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REQUEST_DIGEST_FUNC_H_
