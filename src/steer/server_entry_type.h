/// @file server_entry_type.h A backend server as service discovery lists it.

#ifndef SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
#define SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_

#include <cstdint>
#include <string>

#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// One run of a backend server; a restart is a new one under a new id.
struct ServerEntry {
  std::string m_instance;
  std::string m_service;
  VmAddress m_address;
  std::string m_failure_domain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  /// How much longer it stays cold, as of the writing of the entry.
  Duration m_cold_left{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
