/// @file server_picker.cc Server selection by object, and limits for cold
/// servers.

#include "steer/server_picker.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "steer/region_servers.h"
#include "steer/replica_choice.h"
#include "steer/routing_table_type.h"
#include "steer/server_limits.h"
#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// While views of the fleet differ, two entry VMs may both consider themselves
/// the sender; so each one stays below half of the limit.
constexpr double kColdLimitFraction = 0.5;
/// Fraction of a region's VMs that are assumed to send to the same server
/// during an outage of the store.
constexpr double kOutageVmsFraction = 0.5;
/// A VM that has just joined sees the other members late and might consider
/// itself the only one until then. Longer than the store's slowest watch.
constexpr Duration kMinMembershipForCold = seconds(2);

bool WasTried(const PickCriteria& criteria, const std::string& instance) {
  return criteria.m_tried != nullptr &&
         std::find(criteria.m_tried->begin(), criteria.m_tried->end(),
                   instance) != criteria.m_tried->end();
}

/// Whether the server itself asks not to be sent the request now. This excludes
/// the server, whereas an ejection by this VM only ranks it last.
bool DeclinesRequests(const ServerState& server,
                      const PickCriteria& criteria,
                      TimePoint now) {
  if (server.Notices().IsPaused(now)) {
    return true;
  }
  if (criteria.m_limits == nullptr || !server.Notices().MaxPerSecond()) {
    return false;
  }
  const bool is_left_out =
      !criteria.m_allows_remote_limited &&
      criteria.m_limits->IsReservedForItsRegion(server, now);
  return is_left_out || !criteria.m_limits->MayTry(server, now);
}

ReplicaCandidate CandidateOf(const ServerState& server,
                             const PickCriteria& criteria,
                             TimePoint now) {
  // A queued request that counted itself and those behind it would wait for a
  // full server although the other one has a free slot.
  const bool counts_waiting =
      !criteria.m_is_queued || !criteria.m_usual.m_is_uneven;
  return {.m_occupancy = server.Occupancy(now, criteria.m_usual),
          .m_waiting = counts_waiting ? server.Waiting() : 0.0,
          .m_limit = server.OccupancyLimit(now, criteria.m_usual),
          .m_was_sent_object = criteria.m_has_object_affinity &&
                               server.IsWarmFor(criteria.m_object, now),
          .m_work_factor = server.WorkFactor(now)};
}

}  // namespace

ServerPicker::ServerPicker(const SteeringSettings& settings)
    : m_settings(settings),
      m_cold_assignment(settings.m_regions, settings.m_vm) {}

void ServerPicker::SetFleet(std::vector<FleetMember> fleet, TimePoint now) {
  m_fleet = std::move(fleet);
  m_cold_assignment.SetFleet(m_fleet);
  m_vms_in_region = static_cast<size_t>(std::count_if(
      m_fleet.begin(), m_fleet.end(), [this](const FleetMember& member) {
        return member.m_region == m_settings.m_region;
      }));
  const bool is_member = std::any_of(m_fleet.begin(), m_fleet.end(),
                                     [this](const FleetMember& member) {
                                       return member.m_vm == m_settings.m_vm;
                                     });
  if (!is_member) {
    m_member_since = TimePoint::max();
  } else if (m_member_since == TimePoint::max()) {
    m_member_since = now;
  }
}

void ServerPicker::SetEvacuated(std::set<std::string> domains) {
  m_evacuated = std::move(domains);
}

bool ServerPicker::IsEvacuated(const std::string& domain) const {
  return m_evacuated.contains(domain);
}

bool ServerPicker::IsUsable(const ServerState& server) const {
  const ServerEntry& entry = server.Entry();
  return !entry.m_leaving && !server.Notices().IsLeaving() &&
         !server.IsGone() && !IsEvacuated(entry.m_failure_domain);
}

bool ServerPicker::MaySend(const ServerState& server, TimePoint now) const {
  return IsUsable(server) && !server.Notices().IsPaused(now);
}

bool ServerPicker::IsBreakerOpen(const std::string& domain,
                                 TimePoint now) const {
  const auto it = m_breakers.find(domain);
  return it != m_breakers.end() && it->second.IsOpen(now);
}

bool ServerPicker::IsReachable(const ServerState& server, TimePoint now) const {
  return MaySend(server, now) &&
         !IsBreakerOpen(server.Entry().m_failure_domain, now) &&
         !(server.IsCold(now) && !IsAssignedColdServer(server, now));
}

bool ServerPicker::ShouldAvoid(const ServerState& server,
                               const PickCriteria& criteria,
                               TimePoint now) const {
  return server.IsEjected(now, criteria.m_usual) ||
         IsBreakerOpen(server.Entry().m_failure_domain, now);
}

ServerPicker::Ranked ServerPicker::Rank(
    const std::vector<ServerState*>& servers,
    const PickCriteria& criteria,
    TimePoint now) const {
  using Candidate = std::tuple<bool, double, uint64_t, ServerState*>;
  std::vector<Candidate> candidates;
  candidates.reserve(servers.size());
  for (ServerState* server : servers) {
    const ServerEntry& entry = server->Entry();
    if (!IsUsable(*server) || WasTried(criteria, entry.m_instance)) {
      continue;
    }
    const double load =
        criteria.m_has_object_affinity
            ? 0
            : server->Occupancy(now, criteria.m_usual) / entry.m_slots;
    const bool is_avoided = ShouldAvoid(*server, criteria, now);
    // Avoided servers are ranked last rather than excluded: if all are ejected,
    // the cause is probably not theirs, and refusing all requests would be
    // worse.
    candidates.emplace_back(is_avoided, load,
                            ~ObjectWeight(criteria.m_object, entry.m_instance),
                            server);
  }
  std::sort(candidates.begin(), candidates.end());
  Ranked ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    ranked.push_back(std::get<ServerState*>(candidate));
  }
  return ranked;
}

Choice ServerPicker::Pick(RegionServers& servers,
                          const ServiceRules& rules,
                          const PickCriteria& criteria,
                          TimePoint now) const {
  if (criteria.m_has_object_affinity) {
    const auto choice = PickAmongTop(servers, rules, criteria, now);
    if (choice) {
      return *choice;
    }
  }
  servers.CountExamined(servers.All().size());
  size_t considered = 0;
  return PickInOrder(Rank(servers.All(), criteria, now), rules, criteria,
                     considered, now);
}

std::optional<Choice> ServerPicker::PickAmongTop(RegionServers& servers,
                                                 const ServiceRules& rules,
                                                 const PickCriteria& criteria,
                                                 TimePoint now) const {
  Ranked available = servers.TopServers(criteria.m_object);
  servers.CountExamined(available.size());
  std::erase_if(available, [&](const ServerState* server) {
    return !IsUsable(*server) ||
           WasTried(criteria, server->Entry().m_instance) ||
           ShouldAvoid(*server, criteria, now);
  });
  size_t considered = 0;
  const Choice choice =
      PickInOrder(available, rules, criteria, considered, now);
  return considered == ReplicaChoice::kServersPerObject ? std::optional(choice)
                                                        : std::nullopt;
}

Choice ServerPicker::PickInOrder(const Ranked& ranked,
                                 const ServiceRules& rules,
                                 const PickCriteria& criteria,
                                 size_t& considered,
                                 TimePoint now) const {
  const size_t choices = criteria.m_has_object_affinity
                             ? ReplicaChoice::kServersPerObject
                             : ranked.size();
  Choice best;
  ReplicaChoice replicas(criteria.m_has_object_affinity,
                         criteria.m_usual.m_is_uneven);
  for (ServerState* server : ranked) {
    if (DeclinesRequests(*server, criteria, now)) {
      ++best.m_passed_over;
      continue;
    }
    const auto rate_limit = RateLimit(*server, rules, now);
    const bool may_send = !rate_limit || server->HasRateRoom(*rate_limit, now);
    if (!may_send) {
      continue;
    }
    if (replicas.Count() == choices) {
      break;
    }
    const ReplicaRank rank = replicas.Add(CandidateOf(*server, criteria, now));
    if (best.m_first == nullptr) {
      best.m_first = server;
    }
    if (rank.m_is_fastest) {
      best.m_fastest = server;
      best.m_is_fastest_cached = rank.m_is_cached;
    }
    if (rank.m_is_fastest_free) {
      best.m_fastest_free = server;
      best.m_is_fastest_free_cached = rank.m_is_cached;
    }
  }
  considered = replicas.Count();
  return best;
}

bool ServerPicker::HasObjectCached(RegionServers& servers,
                                   const ServerState& server,
                                   const PickCriteria& criteria,
                                   TimePoint now) const {
  if (!criteria.m_has_object_affinity ||
      server.IsWarmFor(criteria.m_object, now)) {
    return true;
  }
  Ranked ranked = servers.TopServers(criteria.m_object);
  std::erase_if(ranked, [&](const ServerState* other) {
    return !IsUsable(*other) || ShouldAvoid(*other, criteria, now);
  });
  ranked.resize(std::min<size_t>(
      ranked.size(),
      criteria.m_usual.m_is_uneven ? ReplicaChoice::kServersPerObject : 1));
  return std::find(ranked.begin(), ranked.end(), &server) != ranked.end();
}

std::optional<uint32_t> ServerPicker::RateLimit(const ServerState& server,
                                                const ServiceRules& rules,
                                                TimePoint now) const {
  const bool is_limited_when_stale =
      m_is_data_stale && rules.m_cold_per_second > 0;
  if (is_limited_when_stale && !m_is_store_away_for_all) {
    return m_cold_assignment.ShareOf(server.Entry(), ColdLimit(rules));
  }
  if (server.IsCold(now)) {
    return IsAssignedColdServer(server, now) ? ColdLimit(rules) : 0;
  }
  if (is_limited_when_stale) {
    return OutageLimit(rules);
  }
  return std::nullopt;
}

uint32_t ServerPicker::OutageLimit(const ServiceRules& rules) const {
  const double stale_vms =
      std::max(1.0, static_cast<double>(m_vms_in_region) * kOutageVmsFraction);
  return std::max(1U, static_cast<uint32_t>(ColdLimit(rules) / stale_vms));
}

uint32_t ServerPicker::ColdLimit(const ServiceRules& rules) const {
  const double bound = rules.m_cold_per_second * m_settings.m_cold_factor +
                       m_settings.m_cold_slack;
  return static_cast<uint32_t>(std::floor(bound * kColdLimitFraction));
}

bool ServerPicker::IsAssignedColdServer(const ServerState& server,
                                        TimePoint now) const {
  if (m_member_since == TimePoint::max() ||
      now - m_member_since < kMinMembershipForCold) {
    return false;
  }
  return m_cold_assignment.IsAssignedHere(server.Entry());
}

}  // namespace sorrelplank
