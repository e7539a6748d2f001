/// @file server_entry_type.h A backend server's service discovery entry.

#ifndef SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
#define SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// One run (process lifetime) of a backend server. A restart is a new run,
/// under another id or under the same id with a later start time.
struct ServerEntry {
  std::string m_instance;
  std::string m_service;
  VmAddress m_address;
  std::string m_failure_domain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  /// Remaining time for which the server is cold, when the entry was written.
  Duration m_cold_left{};
  /// Unix time of the run's start; absent if the server does not publish it.
  std::optional<milliseconds> m_started;
};

/// Name of the run, unique among all runs of all servers.
std::string RunName(const ServerEntry& entry);

/// Whether both start times are known and the first one is earlier.
inline bool StartedBefore(const ServerEntry& first, const ServerEntry& second) {
  return first.m_started && second.m_started &&
         *first.m_started < *second.m_started;
}

/// Whether both entries may belong to one run. Service, address and failure
/// domain are constant within a run; start times are compared if both are
/// known.
inline bool IsSameRun(const ServerEntry& one, const ServerEntry& other) {
  const bool may_have_same_start =
      !one.m_started || !other.m_started || *one.m_started == *other.m_started;
  return may_have_same_start && one.m_service == other.m_service &&
         one.m_address == other.m_address &&
         one.m_failure_domain == other.m_failure_domain;
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_ENTRY_TYPE_H_
