/// @file caller_key_func.h Parser for the API key in a client's credentials.

#ifndef SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_
#define SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_

#include <optional>
#include <string>

namespace sorrelplank {

/// Returns the key from credentials of the scheme "Bearer" (RFC 6750), or
/// std::nullopt for another scheme and for a missing key. Duplicate credential
/// fields arrive joined by a comma, which matches no configured key: it is
/// ambiguous which one is meant.
std::optional<std::string> ParseBearerKey(const std::string& credentials);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_CALLER_KEY_FUNC_H_
