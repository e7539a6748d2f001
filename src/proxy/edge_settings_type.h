/// @file edge_settings_type.h Settings of the request routing process.

#ifndef SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_
#define SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_

#include <cstddef>
#include <string>
#include <variant>

#include "config/fault_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/steering_settings_type.h"
#include "steer/vm_capacity_type.h"

namespace sorrelplank {

/// Settings as read from the JSON settings file.
struct EdgeSettings {
  SteeringSettings m_steering;
  VmCapacity m_capacity{};
  /// Memory of this VM; zero means unknown.
  size_t m_memory_bytes = 0;
  /// Descriptors that the process may open; zero means the system's limit.
  size_t m_max_descriptors = 0;
  /// Listening address for client requests.
  VmAddress m_client_address;
  /// Listening address for the platform's readiness checks.
  VmAddress m_ready_address;
  /// Listening address for clients that ask which entry VMs to use.
  VmAddress m_directory_address;
  VmAddress m_metrics_address;
  /// UDP address on which entry VMs exchange server loads; all of them use the
  /// same port.
  VmAddress m_exchange_address;
  /// Listening address for entry VMs that request changes of the store from
  /// this one; all of them use the same port.
  VmAddress m_feed_address;
  /// UDP address on which entry VMs request quota tokens from each other; all
  /// of them use the same port.
  VmAddress m_quota_address;
  /// Listening address for requests that other entry VMs pass on; all of them
  /// use the same port.
  VmAddress m_peer_address;
  /// Address of the platform's store.
  VmAddress m_store_address;
  /// Shortest lease lifetime that the store grants.
  Duration m_shortest_lease = seconds(1);
  /// Longest time for which clients cache a directory answer.
  Duration m_longest_ttl = seconds(5);
  /// Time within which a new configuration must be in force.
  Duration m_config_apply = seconds(2);
  /// Time within which requests to a leaving backend server must cease.
  Duration m_drain = seconds(2);
  /// Time between SIGTERM and the forced termination of the process.
  Duration m_stop_grace = seconds(6);
};

/// Parses the text of a settings file. Returns the settings, or all errors that
/// were found.
std::variant<EdgeSettings, Faults> ParseEdgeSettings(const std::string& text,
                                                     const std::string& file);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_
