/// @file steering.cc Knowledge, routing and placement.

#include "steer/steering.h"

#include <algorithm>
#include <utility>

#include "core/invariant_func.h"
#include "steer/start_gate.h"
#include "table/steer_refusal_table.h"

namespace sorrelplank {

namespace {

/// How often loads of regions are measured.
constexpr Duration kSharesInterval = milliseconds(100);
/// Part of the allowed shift that is used. The bound is on two adjacent windows
/// of 2 s, so a steady move of x a second shows as 2 x; the rest is left for
/// the unevenness of what the windows catch.
constexpr double kShiftPart = 0.33;
/// How much more of its objects one service may have moved to other regions
/// than another, as a part of the allowed shift. The bound holds over all
/// services together: where they stand far apart, a change of the traffic's mix
/// alone moves requests. The last requests of a burst, two thirds of them of
/// one service that had moved half away, ran elsewhere by 0.35 in 2 s.
constexpr double kApartPart = 1;

}  // namespace

const SteerRefusalRow& DescribeSteerRefusal(SteerRefusal reason) {
  return kSteerRefusalTable[static_cast<size_t>(reason)];
}

Steering::Steering(SteeringSettings settings, Sink sink)
    : m_settings(std::move(settings)),
      m_sink(std::move(sink)),
      m_picker(m_settings) {
  for (const auto& [domain, region] : m_settings.m_regions) {
    if (std::find(m_regions.begin(), m_regions.end(), region) ==
        m_regions.end()) {
      m_regions.push_back(region);
    }
  }
  m_own_region = RegionOf(m_settings.m_failure_domain);
  Invariant(m_own_region < m_regions.size(), "the own region is known");
}

void Steering::Install(std::shared_ptr<const RoutingTable> table,
                       TimePoint now) {
  Invariant(!m_table || table->m_version >= m_table->m_version,
            "an older table never replaces a newer one");
  m_table = std::move(table);
  m_index = std::make_unique<RouteIndex>(*m_table);
  // A waiting request is handled by the newest table, like one that arrives
  // now; it may have lost its route or gone to another service.
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : m_requests) {
    if (request.m_waits) {
      waiting.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    SteeredRequest& request = m_requests.at(id);
    const std::string service = request.m_service;
    const bool has_route = Route(request);
    if (has_route && request.m_service == service) {
      continue;
    }
    Service(service).Waiting().remove(id);
    StopWaiting(request);
    if (has_route) {
      Place(request, now);
    } else {
      Refuse(request, SteerRefusal::kNoRoute, now);
    }
  }
}

ServerChange Steering::PutServer(const ServerEntry& entry, TimePoint now) {
  const auto it = m_servers.find(entry.m_instance);
  const auto known = it == m_servers.end() ? nullptr : it->second;
  if (known && StartedBefore(entry, known->Entry())) {
    // A write of a run that is over, which reached the store late. It says
    // nothing of the run that serves now; one that called a leaving server
    // ready would send requests to it.
    return ServerChange::kOlderRun;
  }
  const size_t region = RegionOf(entry.m_failure_domain);
  if (region >= m_regions.size()) {
    RemoveServer(entry.m_instance, now);
    return ServerChange::kUnknownDomain;
  }
  if (known && IsSameRun(entry, known->Entry())) {
    known->Update(entry, now);
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
  const auto server = std::make_shared<ServerTrack>(entry, region, now);
  m_servers[entry.m_instance] = server;
  m_servers_by_hash[HashName(entry.m_instance)] = server;
  Service(entry.m_service).AddServer(server);
}

void Steering::RemoveServer(const std::string& instance, TimePoint) {
  const auto it = m_servers.find(instance);
  if (it == m_servers.end()) {
    return;
  }
  Service(it->second->Entry().m_service).RemoveServer(instance);
  m_servers_by_hash.erase(HashName(instance));
  m_servers.erase(it);
}

std::vector<ServerLoad> Steering::TakeUntoldLoads(TimePoint now) {
  std::vector<ServerLoad> loads;
  for (const auto& [instance, server] : m_servers) {
    const auto load = server->TakeUntoldLoad(now);
    if (load) {
      loads.push_back(*load);
    }
  }
  return loads;
}

void Steering::TakeLoads(const std::vector<ServerLoad>& loads, TimePoint now) {
  for (const ServerLoad& load : loads) {
    const auto it = m_servers_by_hash.find(load.m_server);
    if (it != m_servers_by_hash.end()) {
      it->second->TakeReport(load.m_load, load.m_age, now);
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
      // Its servers may have turned cold while nothing was sent to them, and
      // their entries say so only some time later.
      server->MarkCold(RulesOf(server->Entry().m_service).m_cold_start, now);
    }
  }
  m_picker.SetEvacuated(domains);
}

void Steering::SetFleet(std::vector<FleetMember> fleet, TimePoint now) {
  m_picker.SetFleet(std::move(fleet), now);
}

void Steering::SetLimits(const SteeringSettings& settings) {
  m_settings.m_retry_ratio = settings.m_retry_ratio;
  m_settings.m_retry_extra = settings.m_retry_extra;
  if (m_settings.m_retry_window != settings.m_retry_window) {
    m_settings.m_retry_window = settings.m_retry_window;
    for (auto& [name, service] : m_services) {
      service->Retries() = RetryAllowance(settings.m_retry_window);
    }
  }
  m_settings.m_cold_factor = settings.m_cold_factor;
  m_settings.m_cold_slack = settings.m_cold_slack;
  m_settings.m_most_shift = settings.m_most_shift;
}

std::vector<std::string> Steering::HomesOf(const std::string& host) const {
  RegionShares::Mask mask = ~RegionShares::Mask{0};
  if (m_table) {
    for (const RouteRule& route : m_table->m_routes) {
      if (route.m_host == host) {
        mask &= MaskOf(route);
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

size_t Steering::WaitingCount() const {
  size_t count = 0;
  for (const auto& [name, service] : m_services) {
    count += service->Waiting().size();
  }
  return count;
}

SteeredService& Steering::Service(const std::string& name) {
  auto& service = m_services[name];
  if (!service) {
    service = std::make_unique<SteeredService>(m_regions.size(), m_own_region,
                                               m_settings.m_retry_window);
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

RegionShares::Mask Steering::MaskOf(const RouteRule& route) const {
  if (route.m_home_regions.empty()) {
    return ~RegionShares::Mask{0};
  }
  RegionShares::Mask mask = 0;
  for (size_t region = 0; region < m_regions.size(); ++region) {
    const auto& homes = route.m_home_regions;
    if (std::find(homes.begin(), homes.end(), m_regions[region]) !=
        homes.end()) {
      mask |= RegionShares::Mask{1} << region;
    }
  }
  return mask;
}

const ServiceRules& Steering::RulesOf(const std::string& service) const {
  static const ServiceRules unbounded;
  if (!m_table) {
    return unbounded;
  }
  const auto it = m_table->m_services.find(service);
  return it == m_table->m_services.end() ? unbounded : it->second;
}

bool Steering::Route(SteeredRequest& request) {
  const RouteRule* route =
      m_index->Find(request.m_facts.m_host, request.m_facts.m_path);
  if (route == nullptr) {
    return false;
  }
  request.m_table = m_table;
  request.m_route = route;
  request.m_allowed_regions = MaskOf(*route);
  const auto& shares = route->m_shares;
  const bool keeps_service =
      std::any_of(shares.begin(), shares.end(), [&](const BackendShare& share) {
        return share.m_service == request.m_service && share.m_weight > 0;
      });
  if (keeps_service) {
    return true;
  }
  std::vector<double> weights;
  weights.reserve(shares.size());
  for (const BackendShare& share : shares) {
    weights.push_back(share.m_weight);
  }
  if (std::all_of(weights.begin(), weights.end(),
                  [](double weight) { return weight <= 0; })) {
    std::fill(weights.begin(), weights.end(), 1);
  }
  request.m_service = shares[m_splits[route->m_name].Next(weights)].m_service;
  return true;
}

void Steering::Arrived(RequestFacts facts, TimePoint now) {
  const RequestId id = facts.m_request;
  SteeredRequest& request = m_requests[id];
  request.m_facts = std::move(facts);
  request.m_arrived = now;
  if (!m_table && m_is_loading) {
    // Refused, the client would use up one of its few retries and be late by
    // the time to come back; the table is there sooner than it would be back.
    request.m_is_held = true;
    request.m_finish_by =
        now + std::min<Duration>(request.m_facts.m_time_left, kMostHeld);
    m_held.push_back(id);
    return;
  }
  if (!m_table) {
    Refuse(request, SteerRefusal::kNotReady, now);
    return;
  }
  if (m_refuses_new) {
    // A request on a kept connection, so late in a stop that its answer might
    // not come before the process ends: its client would see a cut and could
    // not tell whether it ran.
    Refuse(request, SteerRefusal::kStopping, now);
    return;
  }
  Admit(request, now);
}

void Steering::SetLoading(bool is_loading, TimePoint now) {
  m_is_loading = is_loading;
  if (is_loading || m_held.empty()) {
    return;
  }
  // The split over regions must be set by the servers before the first request
  // starts it; begun with all requests at home, it took ten seconds to move.
  UpdateShares(now);
  std::list<RequestId> held;
  held.swap(m_held);
  for (const RequestId id : held) {
    SteeredRequest& request = m_requests.at(id);
    request.m_is_held = false;
    if (m_table) {
      Admit(request, now);
    } else {
      Refuse(request, SteerRefusal::kNotReady, now);
    }
  }
}

void Steering::Admit(SteeredRequest& request, TimePoint now) {
  if (!Route(request)) {
    Refuse(request, SteerRefusal::kNoRoute, now);
    return;
  }
  const Duration time =
      std::min(request.m_facts.m_time_left, request.m_route->m_timeout);
  request.m_finish_by = request.m_arrived + time;
  SteeredService& service = Service(request.m_service);
  service.Retries().CountRequest(now);
  service.Shares().Start();
  Place(request, now);
}

const std::vector<ServerTrack*>* Steering::Candidates(
    const SteeredRequest& request,
    PickNeed& need) {
  SteeredService& service = Service(request.m_service);
  const size_t region = service.Shares().RegionOf(request.m_facts.m_object,
                                                  request.m_allowed_regions);
  if (region >= m_regions.size()) {
    return nullptr;
  }
  need.m_object = request.m_facts.m_object;
  need.m_keeps_objects_together = request.m_route->m_keeps_objects_together;
  need.m_tried = &request.m_tried;
  need.m_usual = service.Usual();
  return &service.ServersOf(region);
}

Choice Steering::Choose(const SteeredRequest& request, TimePoint now) {
  PickNeed need;
  const auto* servers = Candidates(request, need);
  if (servers == nullptr) {
    return {};
  }
  return m_picker.Pick(*servers, RulesOf(request.m_service), need, now);
}

double Steering::MostMovedAway() const {
  double least = 1;
  for (const auto& [name, service] : m_services) {
    if (service->Shares().HasStarted()) {
      least = std::min(least, service->Shares().MovedAway());
    }
  }
  return std::max(0.0, least) + m_settings.m_most_shift * kApartPart;
}

void Steering::UpdateShares(TimePoint now) {
  const double most_moved_away = MostMovedAway();
  for (auto& [name, service] : m_services) {
    service->UpdateShares(m_picker, RulesOf(name),
                          m_settings.m_most_shift * kShiftPart, most_moved_away,
                          now);
    const auto share = service->ShareToTell();
    if (share) {
      const RegionShares& shares = service->Shares();
      m_sink(SplitMoved{name, *share, shares.OwnLoad(),
                        shares.LeastLoadElsewhere()});
    }
  }
}

void Steering::Tick(TimePoint now) {
  if (now - m_shares_updated >= kSharesInterval) {
    m_shares_updated = now;
    UpdateShares(now);
  }
  std::vector<RequestId> ids;
  ids.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    CheckTime(m_requests.at(id), now);
  }
  for (auto& [name, service] : m_services) {
    ServeWaiting(*service, now);
  }
}

}  // namespace sorrelplank
