/// @file fleet_member_type.h An entry VM as described by its store entry.

#ifndef SORRELPLANK_STEER_FLEET_MEMBER_TYPE_H_
#define SORRELPLANK_STEER_FLEET_MEMBER_TYPE_H_

#include <string>

#include "steer/vm_capacity_type.h"

namespace sorrelplank {

struct FleetMember {
  std::string m_vm;
  /// Address for client connections, "IP:PORT".
  std::string m_client_address;
  std::string m_failure_domain;
  std::string m_region;
  VmCapacity m_capacity{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_FLEET_MEMBER_TYPE_H_
