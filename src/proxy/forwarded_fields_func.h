/// @file forwarded_fields_func.h Header fields that backend servers get.

#ifndef SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_
#define SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_

#include <string>

namespace sorrelplank {

struct ProxyNames;

/// Whether a field concerns one connection only. Names are in lower case.
bool IsConnectionField(const std::string& name);

/// Whether a field says who asks: credentials, or an organisation.
bool IsAboutCaller(const std::string& name, const ProxyNames& names);

/// Whether a client's field is passed on as it came: not those of its
/// connection, nor those that this VM sets itself.
bool IsPassedOn(const std::string& name, const ProxyNames& names);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_FORWARDED_FIELDS_FUNC_H_
