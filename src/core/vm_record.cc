/// @file vm_record.cc Text form of IPv4 addresses and request ids.

#include "core/node_identity_type.h"
#include "core/vm_record_type.h"

#include <arpa/inet.h>

namespace sorrelplank {

std::string FormatIp(uint32_t ip) {
  char text[INET_ADDRSTRLEN] = {};
  const in_addr address{htonl(ip)};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

std::string FormatRequestId(const NodeIdentity& identity, RequestId request) {
  return identity.m_name + "." + std::to_string(identity.m_incarnation.Get()) +
         "." + std::to_string(request.Get());
}

uint32_t ParseIp(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
    return 0;
  }
  return ntohl(address.s_addr);
}

}  // namespace sorrelplank
