/// @file region_servers.cc Sums over a region's servers.

#include "steer/region_servers.h"

#include <algorithm>
#include <utility>

#include "steer/server_picker.h"
#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// Whether the server's own status does not restrict sending requests to it.
bool IsUnrestricted(const ServerState& server, TimePoint now) {
  return !server.Entry().m_leaving && !server.Notices().IsLeaving() &&
         !server.IsGone() && !server.Notices().IsPaused(now) &&
         !server.IsCold(now);
}

}  // namespace

bool RegionServers::ByInstance::operator()(const ServerState* a,
                                           const ServerState* b) const {
  return a->Entry().m_instance < b->Entry().m_instance;
}

void RegionServers::Add(ServerState* server) {
  m_all.push_back(server);
  m_object_ranking.Add(server);
  m_slots[server->Entry().m_failure_domain] += server->Entry().m_slots;
  NoteStatusChange(server);
}

void RegionServers::Remove(ServerState* server) {
  std::erase(m_all, server);
  m_object_ranking.Remove(server);
  m_slots[server->Entry().m_failure_domain] -= server->Entry().m_slots;
  m_restricted.erase(server);
  m_reported.erase(server);
}

void RegionServers::Update(ServerState* server,
                           ServerEntry entry,
                           TimePoint now) {
  uint64_t& slots = m_slots[server->Entry().m_failure_domain];
  slots -= server->Entry().m_slots;
  server->Update(std::move(entry), now);
  slots += server->Entry().m_slots;
  NoteStatusChange(server);
}

void RegionServers::NoteStatusChange(ServerState* server) {
  m_restricted.insert(server);
}

double RegionServers::RegisteredSlots() const {
  double slots = 0;
  for (const auto& [domain, count] : m_slots) {
    slots += static_cast<double>(count);
  }
  return slots;
}

RegionLoad RegionServers::Measure(const ServerPicker& picker, TimePoint now) {
  RegionLoad region;
  for (const auto& [domain, slots] : m_slots) {
    if (picker.IsEvacuated(domain)) {
      continue;
    }
    region.m_slots += static_cast<double>(slots);
    if (!picker.IsBreakerOpen(domain, now)) {
      region.m_reachable_slots += static_cast<double>(slots);
    }
  }
  m_examined += m_restricted.size() + m_reported.size();
  std::erase_if(m_restricted, [now](const ServerState* server) {
    return IsUnrestricted(*server, now);
  });
  for (const ServerState* server : m_restricted) {
    const ServerEntry& entry = server->Entry();
    if (picker.IsEvacuated(entry.m_failure_domain)) {
      continue;
    }
    if (!picker.IsUsable(*server)) {
      region.m_slots -= entry.m_slots;
    }
    const bool is_counted_reachable =
        !picker.IsBreakerOpen(entry.m_failure_domain, now);
    if (is_counted_reachable && !picker.IsReachable(*server, now)) {
      region.m_reachable_slots -= entry.m_slots;
    }
  }
  double load = 0;
  double reported_slots = 0;
  std::erase_if(m_reported, [now](const ServerState* server) {
    return !server->RecentLoad(now);
  });
  for (const ServerState* server : m_reported) {
    if (picker.IsUsable(*server)) {
      reported_slots += server->Entry().m_slots;
      load += *server->RecentLoad(now) + server->Waiting();
    }
  }
  region.m_is_known = reported_slots > 0;
  if (reported_slots > 0) {
    region.m_utilisation = load / reported_slots;
  }
  return region;
}

}  // namespace sorrelplank
