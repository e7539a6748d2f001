/// @file steering_reach.cc Detects whether this VM reaches any backend server.

#include <algorithm>
#include <set>

#include "steer/steering.h"

namespace sorrelplank {

void Steering::ProbeServers(TimePoint now) {
  const size_t due = m_reach.ProbesDue(now);
  if (due == 0) {
    return;
  }
  const auto servers = ServersToProbe(due);
  m_reach.StartProbes(servers.size(), now);
  for (const auto& server : servers) {
    const ServerEntry& entry = server->Entry();
    m_last_probed = entry.m_instance;
    m_sink(ProbeServerReach{entry.m_instance, entry.m_address});
  }
}

std::vector<std::shared_ptr<ServerState>> Steering::ServersToProbe(
    size_t count) const {
  std::vector<std::shared_ptr<ServerState>> servers;
  servers.reserve(m_servers.size());
  const auto first = m_servers.upper_bound(m_last_probed);
  for (auto it = first; it != m_servers.end(); ++it) {
    servers.push_back(it->second);
  }
  for (auto it = m_servers.begin(); it != first; ++it) {
    servers.push_back(it->second);
  }
  std::erase_if(servers, [this](const auto& server) {
    return !m_picker.IsUsable(*server);
  });
  // One server of each failure domain goes first, and among these, one without
  // failures.
  std::stable_partition(servers.begin(), servers.end(),
                        [this](const auto& one) {
                          return !m_reach.HasFailed(one->Entry().m_instance);
                        });
  std::set<std::string> domains;
  std::stable_partition(
      servers.begin(), servers.end(), [&domains](const auto& server) {
        return domains.insert(server->Entry().m_failure_domain).second;
      });
  servers.resize(std::min(count, servers.size()));
  return servers;
}

void Steering::ReachProbed(bool is_reached, TimePoint now) {
  switch (m_reach.CountProbe(is_reached)) {
    case ReachMonitor::Change::kNone:
      return;
    case ReachMonitor::Change::kLost:
      m_sink(StateChanged{"servers_out_of_reach", m_settings.m_vm, 1});
      PassOnWaiting(now);
      return;
    case ReachMonitor::Change::kRegained:
      RegainServers(now);
      return;
  }
}

void Steering::RegainServers(TimePoint now) {
  m_sink(StateChanged{"servers_within_reach", m_settings.m_vm, 1});
  // The failures were not the servers'. If some counted for longer than others,
  // objects and regions would move.
  m_picker.ResetBreakers();
  for (const auto& [instance, server] : m_servers) {
    server->ForgetFailures();
    Service(server->Entry().m_service)
        .RegionServersOf(*server)
        .NoteStatusChange(server.get());
  }
  UpdateShares(now);
}

void Steering::CountReach(const std::string& instance,
                          const AttemptReport& report,
                          TimePoint now) {
  const bool is_response =
      report.m_end != AttemptEnd::kNotSent && report.m_end != AttemptEnd::kLost;
  if (!is_response && !report.m_server_ended) {
    m_reach.CountFailure(instance, now);
  }
  const bool is_proof = is_response && report.m_is_new_connection;
  if (is_proof && m_reach.CountResponse()) {
    RegainServers(now);
  }
}

}  // namespace sorrelplank
