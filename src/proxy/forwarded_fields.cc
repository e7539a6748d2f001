/// @file forwarded_fields.cc Classification of header fields by name.

#include <set>

#include "proxy/forwarded_fields_func.h"
#include "proxy/proxy_header_names_type.h"

namespace sorrelplank {

namespace {

/// Besides the hop-by-hop fields: content-length, which the sender of each hop
/// writes anew, and expect, which only concerns the client's connection.
const std::set<std::string> kHopByHopFields = {"connection",
                                               "keep-alive",
                                               "proxy-authenticate",
                                               "proxy-authorization",
                                               "proxy-connection",
                                               "te",
                                               "trailer",
                                               "transfer-encoding",
                                               "upgrade",
                                               "content-length",
                                               "expect"};

}  // namespace

bool IsHopByHopField(const std::string& name) {
  return kHopByHopFields.contains(name);
}

bool IsCallerIdentityField(const std::string& name,
                           const ProxyHeaderNames& names) {
  return name == names.m_credentials || name == names.m_organisation;
}

bool IsForwardedField(const std::string& name, const ProxyHeaderNames& names) {
  const bool is_set_by_proxy =
      name == names.m_deadline_ms || name == names.m_expected_instance;
  return !is_set_by_proxy && !IsHopByHopField(name);
}

}  // namespace sorrelplank
