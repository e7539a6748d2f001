/// @file server_roster.cc Sums over a region, less what is out of the ordinary.

#include "steer/server_roster.h"

#include <algorithm>
#include <utility>

#include "steer/server_picker.h"
#include "steer/server_track.h"

namespace sorrelplank {

namespace {

/// Whether nothing of the server's own keeps requests away.
bool IsOrdinary(const ServerTrack& server, TimePoint now) {
  return !server.Entry().m_leaving && !server.Notices().IsLeaving() &&
         !server.IsGone() && !server.Notices().IsPaused(now) &&
         !server.IsCold(now);
}

}  // namespace

bool ServerRoster::ByInstance::operator()(const ServerTrack* a,
                                          const ServerTrack* b) const {
  return a->Entry().m_instance < b->Entry().m_instance;
}

void ServerRoster::Add(ServerTrack* server) {
  m_all.push_back(server);
  m_order.Add(server);
  m_slots[server->Entry().m_failure_domain] += server->Entry().m_slots;
  NoteStanding(server);
}

void ServerRoster::Remove(ServerTrack* server) {
  std::erase(m_all, server);
  m_order.Remove(server);
  m_slots[server->Entry().m_failure_domain] -= server->Entry().m_slots;
  m_special.erase(server);
  m_reported.erase(server);
}

void ServerRoster::Update(ServerTrack* server,
                          ServerEntry entry,
                          TimePoint now) {
  uint64_t& slots = m_slots[server->Entry().m_failure_domain];
  slots -= server->Entry().m_slots;
  server->Update(std::move(entry), now);
  slots += server->Entry().m_slots;
  NoteStanding(server);
}

void ServerRoster::NoteStanding(ServerTrack* server) {
  m_special.insert(server);
}

RegionLoad ServerRoster::Measure(const ServerPicker& picker,
                                 const ServiceRules& rules,
                                 TimePoint now) {
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
  m_looked_at += m_special.size() + m_reported.size();
  std::erase_if(m_special, [now](const ServerTrack* server) {
    return IsOrdinary(*server, now);
  });
  for (const ServerTrack* server : m_special) {
    const ServerEntry& entry = server->Entry();
    if (picker.IsEvacuated(entry.m_failure_domain)) {
      continue;
    }
    if (!picker.IsUsable(*server)) {
      region.m_slots -= entry.m_slots;
    }
    const bool is_counted_within_reach =
        !picker.IsBreakerOpen(entry.m_failure_domain, now);
    if (is_counted_within_reach && !picker.IsWithinReach(*server, rules, now)) {
      region.m_reachable_slots -= entry.m_slots;
    }
  }
  double load = 0;
  double told_slots = 0;
  std::erase_if(m_reported, [now](const ServerTrack* server) {
    return !server->RecentLoad(now);
  });
  for (const ServerTrack* server : m_reported) {
    if (picker.IsUsable(*server)) {
      told_slots += server->Entry().m_slots;
      load += *server->RecentLoad(now) + server->Waiting();
    }
  }
  region.m_is_known = told_slots > 0;
  if (told_slots > 0) {
    region.m_utilisation = load / told_slots;
  }
  return region;
}

}  // namespace sorrelplank
