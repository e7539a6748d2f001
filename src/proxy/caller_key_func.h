/// @file caller_key_func.h The key that a client shows.

#ifndef SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_
#define SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_

#include <optional>
#include <string>

namespace sorrelplank {

/// The key in credentials of the scheme "Bearer" (RFC 6750); nothing for any
/// other text. Credentials that a client sent twice are joined by a comma, and
/// so name no key: it is not clear which one is meant.
std::optional<std::string> ParseBearerKey(const std::string& credentials);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_
