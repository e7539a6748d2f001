/// @file forwarded_fields_func.h Which header fields are forwarded to servers.

#ifndef SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_
#define SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_

#include <string>

namespace sorrelplank {

struct ProxyHeaderNames;

/// Whether a field applies to a single connection and must not be forwarded.
/// Names are in lower case.
bool IsHopByHopField(const std::string& name);

/// Whether a field identifies the caller: credentials or an organisation.
bool IsCallerIdentityField(const std::string& name,
                           const ProxyHeaderNames& names);

/// Whether a client's field is forwarded unchanged: neither a hop-by-hop field
/// nor one that this VM sets itself.
bool IsForwardedField(const std::string& name, const ProxyHeaderNames& names);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_
