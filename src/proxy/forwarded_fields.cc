/// @file forwarded_fields.cc Names of fields that stay with a connection.

#include <set>

#include "proxy/forwarded_fields_func.h"
#include "proxy/proxy_names_type.h"

namespace sorrelplank {

namespace {

const std::set<std::string> kConnectionFields = {"connection",
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

bool IsConnectionField(const std::string& name) {
  return kConnectionFields.contains(name);
}

bool IsAboutCaller(const std::string& name, const ProxyNames& names) {
  return name == names.m_credentials || name == names.m_organisation;
}

bool IsPassedOn(const std::string& name, const ProxyNames& names) {
  const bool is_ours =
      name == names.m_deadline_ms || name == names.m_expected_instance;
  return !is_ours && !IsConnectionField(name);
}

}  // namespace sorrelplank
