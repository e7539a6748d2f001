/// @file server_entry_type.h A backend server as service discovery lists it.

#ifndef SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
#define SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// One run of a backend server. A restart is another run, under another id or
/// under the same one with a later start.
struct ServerEntry {
  std::string m_instance;
  std::string m_service;
  VmAddress m_address;
  std::string m_failure_domain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  /// How much longer it stays cold, as of the writing of the entry.
  Duration m_cold_left{};
  /// Unix time of the run's start; absent where the server does not tell it.
  std::optional<milliseconds> m_started;
};

/// Names the run among all runs of all servers.
std::string RunName(const ServerEntry& entry);

/// Whether both tell their start, and the first run's came before the second's.
inline bool StartedBefore(const ServerEntry& first, const ServerEntry& second) {
  return first.m_started && second.m_started &&
         *first.m_started < *second.m_started;
}

/// Whether both entries may be of one run. A run keeps its service and address;
/// starts are compared where both tell them.
inline bool IsSameRun(const ServerEntry& one, const ServerEntry& other) {
  const bool may_have_same_start =
      !one.m_started || !other.m_started || *one.m_started == *other.m_started;
  return may_have_same_start && one.m_service == other.m_service &&
         one.m_address == other.m_address &&
         one.m_failure_domain == other.m_failure_domain;
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
