/// @file steering_knowledge.cc Updates of configuration, servers and fleet.

#include <algorithm>
#include <utility>

#include "core/invariant_func.h"
#include "steer/steering.h"

namespace sorrelplank {

void Steering::Install(std::shared_ptr<const RoutingTable> table,
                       TimePoint now) {
  Invariant(!m_table || table->m_version >= m_table->m_version,
            "an older table never replaces a newer one");
  m_table = std::move(table);
  m_index = std::make_unique<RouteIndex>(*m_table);
  m_shortest_targets.clear();
  for (const RouteRule& route : m_table->m_routes) {
    for (const BackendShare& share : route.m_shares) {
      const auto target =
          m_shortest_targets
              .try_emplace(share.m_service, route.m_target_latency)
              .first;
      target->second = std::min(target->second, route.m_target_latency);
    }
  }
  m_organisations = std::make_unique<OrganisationIndex>(*m_table);
  m_returns.KeepRoutesOf(*m_table);
  // The newest table applies to waiting requests as it does to new ones: their
  // route or key may be gone, or their service may have changed.
  std::vector<RequestId> waiting;
  std::vector<RequestId> awaiting_token;
  for (const auto& [id, request] : m_requests) {
    if (request.m_is_queued || request.m_awaits_server) {
      waiting.push_back(id);
    } else if (request.m_awaits_token) {
      awaiting_token.push_back(id);
    }
  }
  for (const RequestId id : awaiting_token) {
    StopAwaitingToken(m_requests.at(id));
  }
  for (const RequestId id : awaiting_token) {
    Admit(m_requests.at(id), now);
  }
  for (const RequestId id : waiting) {
    SteeredRequest& request = m_requests.at(id);
    const std::string service = request.m_service;
    const RegionShares::Mask regions = request.m_allowed_regions;
    const auto refusal = Route(request);
    const bool keeps_its_place = !refusal && request.m_service == service &&
                                 request.m_allowed_regions == regions;
    if (keeps_its_place) {
      continue;
    }
    if (request.m_awaits_server) {
      StopAwaitingServer(request);
    } else {
      Service(service).Waiting().remove(id);
      Dequeue(request);
    }
    if (refusal) {
      Refuse(request, *refusal, now);
    } else {
      Dispatch(request, now);
    }
  }
}

ServerChange Steering::PutServer(const ServerEntry& entry, TimePoint now) {
  const auto it = m_servers.find(entry.m_instance);
  const auto known = it == m_servers.end() ? nullptr : it->second;
  if (known && StartedBefore(entry, known->Entry())) {
    // A late write of a run that has ended. It says nothing about the current
    // run; applied, it could mark a leaving server as ready and direct requests
    // to it.
    return ServerChange::kOlderRun;
  }
  const size_t region = RegionOf(entry.m_failure_domain);
  if (region >= m_regions.size()) {
    RemoveServer(entry.m_instance, now);
    return ServerChange::kUnknownDomain;
  }
  if (known && IsSameRun(entry, known->Entry())) {
    ServerEntry update = entry;
    // A run that leaves does not come back. An entry that says otherwise is
    // from an older copy of the store.
    update.m_leaving |= known->Entry().m_leaving;
    Service(entry.m_service).UpdateServer(*known, update, now);
    return ServerChange::kUpdated;
  }
  RemoveServer(entry.m_instance, now);
  AddServer(entry, region, now);
  if (!known) {
    return ServerChange::kAdded;
  }
  m_sink(ServerRestarted{entry.m_instance});
  if (StartedBefore(known->Entry(), entry)) {
    EndSendsTo(*known, now);
  }
  return ServerChange::kRestarted;
}

void Steering::AddServer(const ServerEntry& entry,
                         size_t region,
                         TimePoint now) {
  const auto server = std::make_shared<ServerState>(entry, region, now);
  server->RestoreNotices(m_notice_archive.Take(entry, now));
  m_servers[entry.m_instance] = server;
  m_servers_by_hash[HashName(entry.m_instance)] = server;
  Service(entry.m_service).AddServer(server);
}

bool Steering::IsListed(const ServerState& server) const {
  const auto known = m_servers.find(server.Entry().m_instance);
  return known != m_servers.end() && known->second.get() == &server;
}

void Steering::RemoveServer(const std::string& instance, TimePoint now) {
  const auto it = m_servers.find(instance);
  if (it == m_servers.end()) {
    return;
  }
  m_notice_archive.Put(it->second->Entry(), it->second->Notices(), now);
  Service(it->second->Entry().m_service).RemoveServer(instance);
  m_servers_by_hash.erase(HashName(instance));
  m_servers.erase(it);
}

std::vector<ServerLoad> Steering::TakeUnsharedLoads(TimePoint now) {
  std::vector<ServerLoad> loads;
  for (const std::string& instance : m_unshared_loads) {
    const auto server = m_servers.find(instance);
    if (server == m_servers.end()) {
      continue;
    }
    const auto load = server->second->TakeUnsharedLoad(now);
    if (load) {
      loads.push_back(*load);
    }
  }
  m_unshared_loads.clear();
  return loads;
}

void Steering::ApplyPeerLoads(const std::vector<ServerLoad>& loads,
                              TimePoint now) {
  for (const ServerLoad& load : loads) {
    const auto it = m_servers_by_hash.find(load.m_server);
    if (it != m_servers_by_hash.end()) {
      ServerState& server = *it->second;
      server.ApplyLoadReport(load.m_load, load.m_age, now);
      SteeredService& service = Service(server.Entry().m_service);
      service.RegionServersOf(server).NoteLoadReport(&server);
      service.Hedges().NoteReported(load.m_load.m_work_percent,
                                    now - load.m_age);
    }
  }
}

void Steering::SetEvacuated(const std::set<std::string>& domains,
                            TimePoint now) {
  for (const auto& [instance, server] : m_servers) {
    const std::string& domain = server->Entry().m_failure_domain;
    const bool returns =
        m_picker.IsEvacuated(domain) && !domains.contains(domain);
    if (returns) {
      // Its servers may have become cold while they got no requests, and their
      // entries show that only some time later.
      const std::string& service = server->Entry().m_service;
      server->MarkCold(RulesOf(service).m_cold_start, now);
      Service(service).RegionServersOf(*server).NoteStatusChange(server.get());
    }
  }
  m_picker.SetEvacuated(domains);
}

void Steering::SetFleet(std::vector<FleetMember> fleet, TimePoint now) {
  m_quota_gate.SetFleet(fleet);
  m_server_limits.SetFleet(fleet, now);
  m_quota_keeper.FleetChanged(now);
  m_retry_extra_share.SetVms(fleet.size(), now);
  m_picker.SetFleet(std::move(fleet), now);
}

void Steering::SetLimits(const SteeringSettings& settings, TimePoint now) {
  m_settings.m_retry_ratio = settings.m_retry_ratio;
  m_settings.m_retry_extra = settings.m_retry_extra;
  if (m_settings.m_retry_window != settings.m_retry_window) {
    m_settings.m_retry_window = settings.m_retry_window;
    for (auto& [name, service] : m_services) {
      service->Retries() = RetryBudgetShare(settings.m_retry_window);
    }
    // What was spent is forgotten, as in a restart.
    m_retry_extra_share = RetryExtraShare(settings.m_retry_window);
    m_retry_extra_share.SetVms(m_picker.Fleet().size(), now);
  }
  m_settings.m_cold_factor = settings.m_cold_factor;
  m_settings.m_cold_slack = settings.m_cold_slack;
  m_settings.m_max_shift = settings.m_max_shift;
  m_settings.m_quotas = settings.m_quotas;
  m_quota_gate.SetBounds(settings.m_quotas);
  m_quota_keeper.SetBounds(settings.m_quotas);
}

std::vector<std::string> Steering::HomesOf(const std::string& host) const {
  RegionShares::Mask mask = ~RegionShares::Mask{0};
  if (m_table) {
    for (const RouteRule& route : m_table->m_routes) {
      if (route.m_host == host) {
        mask &= MaskOf(route.m_home_regions);
      }
    }
  }
  std::vector<std::string> homes;
  for (size_t region = 0; region < m_regions.size(); ++region) {
    if (((mask >> region) & 1U) != 0) {
      homes.push_back(m_regions[region]);
    }
  }
  return homes;
}

uint64_t Steering::ServersExamined() const {
  uint64_t servers = 0;
  for (const auto& [name, service] : m_services) {
    servers += service->ServersExamined();
  }
  return servers;
}

size_t Steering::WaitingCount() const {
  size_t count = 0;
  for (const auto& [name, service] : m_services) {
    count += service->Waiting().size();
  }
  return count;
}

size_t Steering::LimitedServers() const {
  return static_cast<size_t>(
      std::count_if(m_servers.begin(), m_servers.end(), [](const auto& one) {
        return one.second->Notices().MaxPerSecond().has_value();
      }));
}

size_t Steering::PausedServers(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      m_servers.begin(), m_servers.end(),
      [now](const auto& one) { return one.second->Notices().IsPaused(now); }));
}

SteeredService& Steering::Service(const std::string& name) {
  auto& service = m_services[name];
  if (!service) {
    service = std::make_unique<SteeredService>(
        m_regions.size(), m_own_region, m_settings.m_retry_window,
        m_settings.m_uneven_capacity_ratio);
  }
  return *service;
}

size_t Steering::RegionOf(const std::string& failure_domain) const {
  const auto it = m_settings.m_regions.find(failure_domain);
  if (it == m_settings.m_regions.end()) {
    return m_regions.size();
  }
  const auto region = std::find(m_regions.begin(), m_regions.end(), it->second);
  return static_cast<size_t>(region - m_regions.begin());
}

const Organisation* Steering::OrganisationOf(const std::string& key) const {
  return m_organisations ? m_organisations->Find(key) : nullptr;
}

RegionShares::Mask Steering::MaskOf(
    const std::vector<std::string>& homes) const {
  if (homes.empty()) {
    return ~RegionShares::Mask{0};
  }
  RegionShares::Mask mask = 0;
  for (size_t region = 0; region < m_regions.size(); ++region) {
    if (std::find(homes.begin(), homes.end(), m_regions[region]) !=
        homes.end()) {
      mask |= RegionShares::Mask{1} << region;
    }
  }
  return mask;
}

Duration Steering::ShortestTarget(const std::string& service) const {
  const auto it = m_shortest_targets.find(service);
  return it == m_shortest_targets.end() ? Duration::max() : it->second;
}

const ServiceRules& Steering::RulesOf(const std::string& service) const {
  static const ServiceRules unbounded;
  if (!m_table) {
    return unbounded;
  }
  const auto it = m_table->m_services.find(service);
  return it == m_table->m_services.end() ? unbounded : it->second;
}

}  // namespace sorrelplank
