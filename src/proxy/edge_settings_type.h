/// @file edge_settings_type.h Settings of the process that routes requests.

#ifndef SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_
#define SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_

#include <string>
#include <variant>

#include "config/fault_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/steering_settings_type.h"
#include "steer/vm_capacity_type.h"

namespace sorrelplank {

/// One field a key of the JSON settings file.
struct EdgeSettings {
  SteeringSettings m_steering;
  VmCapacity m_capacity{};
  /// Where clients send requests.
  VmAddress m_client_address;
  /// Where the platform asks whether this VM is ready.
  VmAddress m_ready_address;
  /// Where clients ask which entry VMs to use.
  VmAddress m_directory_address;
  VmAddress m_metrics_address;
  /// Where entry VMs tell each other of loads, by datagram; the port is the
  /// same at all of them.
  VmAddress m_exchange_address;
  /// Where entry VMs ask each other for changes of the store; the port is the
  /// same at all of them.
  VmAddress m_feed_address;
  /// Where entry VMs ask each other for tokens of quotas, by datagram; the port
  /// is the same at all of them.
  VmAddress m_quota_address;
  /// The platform's store.
  VmAddress m_store_address;
  /// Shortest lifetime of a lease that the store grants.
  Duration m_shortest_lease = seconds(1);
  /// Longest time that clients keep a directory answer.
  Duration m_longest_ttl = seconds(5);
  /// Time within which a new configuration must be in force.
  Duration m_config_apply = seconds(2);
  /// Time within which a leaving backend server must be left alone.
  Duration m_drain = seconds(2);
  /// Time from SIGTERM until the process is killed.
  Duration m_stop_grace = seconds(6);
};

/// Parses a settings text; all faults at once.
std::variant<EdgeSettings, Faults> ParseEdgeSettings(const std::string& text,
                                                     const std::string& file);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_EDGE_SETTINGS_TYPE_H_
