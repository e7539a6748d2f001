/// @file vm_record_type.h State that an entry VM reports to the others.

#ifndef SORRELPLANK_CORE_VM_RECORD_TYPE_H_
#define SORRELPLANK_CORE_VM_RECORD_TYPE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids_type.h"

namespace sorrelplank {

/// Slots of one service over all backend servers that one entry VM holds.
struct ServiceSlots {
  NameHash m_service;
  uint32_t m_held = 0;
  uint32_t m_free = 0;
};

/// Address on which an entry VM listens for other entry VMs.
struct VmAddress {
  uint32_t m_ip = 0;
  uint16_t m_port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of this version.
  auto operator<=>(const VmAddress&) const = default;
};

/// The last heartbeat that a VM received from a sibling.
struct HeardHeartbeat {
  VmName m_name;
  Incarnation m_incarnation;
  uint64_t m_sequence = 0;
  /// Its address, for siblings that do not know it yet.
  VmAddress m_address;
};

/// State of one entry VM at one of its heartbeats. Other VMs relay it
/// unchanged.
struct VmRecord {
  VmName m_name;
  NameHash m_place;
  VmAddress m_address;
  uint16_t m_caller_port = 0;
  Incarnation m_incarnation;
  /// Grows with each heartbeat of one incarnation.
  uint64_t m_sequence = 0;
  bool m_leaving = false;
  bool m_ready = false;
  ConfigVersion m_config_version;
  std::vector<ServiceSlots> m_slots;
  /// Backend servers that it has claimed, dispatches to or has requests in
  /// flight at.
  std::vector<NameHash> m_holdings;
  /// Last heartbeats received from siblings. A VM that was paused uses them to
  /// tell a record made after its new heartbeat from one that waited in its
  /// socket.
  std::vector<HeardHeartbeat> m_heard;
};

/// Returns the address in dotted decimal notation.
std::string FormatIp(uint32_t ip);
/// Returns the number of an IPv4 address, or 0 if the text is none.
uint32_t ParseIp(const std::string& text);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_VM_RECORD_TYPE_H_
