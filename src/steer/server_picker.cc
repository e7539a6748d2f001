/// @file server_picker.cc Placement by object, cold servers.

#include "steer/server_picker.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "steer/routing_table_type.h"
#include "steer/server_limits.h"
#include "steer/server_roster.h"
#include "steer/server_track.h"

namespace sorrelplank {

namespace {

/// Two entry VMs may take themselves for the sender while their views of the
/// fleet differ; so each stays under half of the bound.
constexpr double kColdPart = 0.5;
/// Servers that an object may go to while all are sound. More would find a free
/// slot sooner and be cold for the object more often.
constexpr size_t kChoicesOfObject = 2;
/// Part of a region's VMs that are taken to be cut off from the store at once.
/// Servers may turn cold without their learning of it. They share the half of
/// the bound that the one VM which sends to a cold server leaves.
constexpr double kCutOffPart = 0.5;
/// A VM that has just joined sees others late; until then it may take itself
/// for the only one. Longer than the store's slowest watch.
constexpr Duration kMemberBeforeCold = seconds(2);

bool WasTried(const PickNeed& need, const std::string& instance) {
  return need.m_tried != nullptr &&
         std::find(need.m_tried->begin(), need.m_tried->end(), instance) !=
             need.m_tried->end();
}

/// Whether the server's own word forbids to send the request there now. A
/// bound, unlike a rest of ours, which only ranks a server last.
bool AsksForNone(const ServerTrack& server,
                 const PickNeed& need,
                 TimePoint now) {
  if (server.Notices().IsPaused(now)) {
    return true;
  }
  if (need.m_limits == nullptr || !server.Notices().MaxPerSecond()) {
    return false;
  }
  const bool is_left_out = !need.m_takes_remote_limited &&
                           need.m_limits->IsReservedForItsRegion(server, now);
  return is_left_out || !need.m_limits->MayTry(server, now);
}

}  // namespace

ServerPicker::ServerPicker(const SteeringSettings& settings)
    : m_settings(settings), m_cold_senders(settings.m_regions, settings.m_vm) {}

void ServerPicker::SetFleet(std::vector<FleetMember> fleet, TimePoint now) {
  m_fleet = std::move(fleet);
  m_cold_senders.SetFleet(m_fleet);
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

bool ServerPicker::IsUsable(const ServerTrack& server) const {
  const ServerEntry& entry = server.Entry();
  return !entry.m_leaving && !server.Notices().IsLeaving() &&
         !server.IsGone() && !IsEvacuated(entry.m_failure_domain);
}

bool ServerPicker::MaySend(const ServerTrack& server, TimePoint now) const {
  return IsUsable(server) && !server.Notices().IsPaused(now);
}

bool ServerPicker::IsBreakerOpen(const std::string& domain,
                                 TimePoint now) const {
  const auto it = m_breakers.find(domain);
  return it != m_breakers.end() && it->second.IsOpen(now);
}

bool ServerPicker::IsWithinReach(const ServerTrack& server,
                                 const ServiceRules& rules,
                                 TimePoint now) const {
  return MaySend(server, now) &&
         !IsBreakerOpen(server.Entry().m_failure_domain, now) &&
         RateLimit(server, rules, now) != 0U;
}

bool ServerPicker::Rests(const ServerTrack& server,
                         const PickNeed& need,
                         TimePoint now) const {
  return server.IsResting(now, need.m_usual) ||
         IsBreakerOpen(server.Entry().m_failure_domain, now);
}

ServerPicker::Ranked ServerPicker::Rank(
    const std::vector<ServerTrack*>& servers,
    const PickNeed& need,
    TimePoint now) const {
  using Place = std::tuple<bool, double, uint64_t, ServerTrack*>;
  std::vector<Place> places;
  places.reserve(servers.size());
  for (ServerTrack* server : servers) {
    const ServerEntry& entry = server->Entry();
    if (!IsUsable(*server) || WasTried(need, entry.m_instance)) {
      continue;
    }
    const double load =
        need.m_has_object_affinity ? 0 : server->Occupancy(now) / entry.m_slots;
    const bool is_resting = Rests(*server, need, now);
    // Resting servers come last instead of dropping out: where all rest, the
    // cause is likely not theirs, and refusing everything would be worse.
    places.emplace_back(is_resting, load,
                        ~ObjectWeight(need.m_object, entry.m_instance), server);
  }
  std::sort(places.begin(), places.end());
  Ranked ranked;
  ranked.reserve(places.size());
  for (const Place& place : places) {
    ranked.push_back(std::get<ServerTrack*>(place));
  }
  return ranked;
}

Choice ServerPicker::Pick(ServerRoster& servers,
                          const ServiceRules& rules,
                          const PickNeed& need,
                          TimePoint now) const {
  if (need.m_has_object_affinity) {
    const auto choice = PickAmongFirst(servers, rules, need, now);
    if (choice) {
      return *choice;
    }
  }
  servers.CountLookedAt(servers.All().size());
  size_t considered = 0;
  return PickInOrder(Rank(servers.All(), need, now), rules, need, considered,
                     now);
}

std::optional<Choice> ServerPicker::PickAmongFirst(ServerRoster& servers,
                                                   const ServiceRules& rules,
                                                   const PickNeed& need,
                                                   TimePoint now) const {
  Ranked awake = servers.FirstOf(need.m_object);
  servers.CountLookedAt(awake.size());
  std::erase_if(awake, [&](const ServerTrack* server) {
    return !IsUsable(*server) || WasTried(need, server->Entry().m_instance) ||
           Rests(*server, need, now);
  });
  size_t considered = 0;
  const Choice choice = PickInOrder(awake, rules, need, considered, now);
  return considered == kChoicesOfObject ? std::optional(choice) : std::nullopt;
}

Choice ServerPicker::PickInOrder(const Ranked& ranked,
                                 const ServiceRules& rules,
                                 const PickNeed& need,
                                 size_t& considered,
                                 TimePoint now) const {
  const size_t choices =
      need.m_has_object_affinity ? kChoicesOfObject : ranked.size();
  Choice best;
  double first_time = 0;
  double free_time = 0;
  for (ServerTrack* server : ranked) {
    if (AsksForNone(*server, need, now)) {
      ++best.m_passed_over;
      continue;
    }
    const auto rate_limit = RateLimit(*server, rules, now);
    const bool may_send = !rate_limit || server->HasRateRoom(*rate_limit, now);
    if (!may_send) {
      continue;
    }
    if (considered == choices) {
      break;
    }
    ++considered;
    const double limit = server->OccupancyLimit(now, need.m_usual);
    const double surplus =
        server->Occupancy(now) + server->Waiting() + 1 - limit;
    const double wait = std::max(0.0, surplus) / std::max(1.0, limit);
    // All entry VMs put an object's first server first, so that one is warm by
    // their requests, which this VM does not see. Taken as not warm, it lost
    // the object to the second server over any wait. Value of the answers to
    // their callers under overload, of the most possible: 0.714 before, 0.731
    // after.
    const bool is_warm = !need.m_has_object_affinity || considered == 1 ||
                         server->IsWarmFor(need.m_object, now);
    const double time = wait + (is_warm ? 1 : ServerTrack::kNotWarmFactor);
    if (best.m_first == nullptr || time < first_time) {
      best.m_first = server;
      first_time = time;
    }
    const bool has_room = server->Occupancy(now) + 1 <= limit;
    if (has_room && (best.m_free == nullptr || time < free_time)) {
      best.m_free = server;
      free_time = time;
    }
  }
  return best;
}

std::optional<uint32_t> ServerPicker::RateLimit(const ServerTrack& server,
                                                const ServiceRules& rules,
                                                TimePoint now) const {
  if (server.IsCold(now)) {
    return IsColdSender(server, now) ? ColdLimit(rules) : 0;
  }
  if (m_is_cut_off && rules.m_cold_per_second > 0) {
    return CutOffLimit(rules);
  }
  return std::nullopt;
}

uint32_t ServerPicker::CutOffLimit(const ServiceRules& rules) const {
  const double cut_off_vms =
      std::max(1.0, static_cast<double>(m_vms_in_region) * kCutOffPart);
  return std::max(1U, static_cast<uint32_t>(ColdLimit(rules) / cut_off_vms));
}

uint32_t ServerPicker::ColdLimit(const ServiceRules& rules) const {
  const double bound = rules.m_cold_per_second * m_settings.m_cold_factor +
                       m_settings.m_cold_slack;
  return static_cast<uint32_t>(std::floor(bound * kColdPart));
}

bool ServerPicker::IsColdSender(const ServerTrack& server,
                                TimePoint now) const {
  if (m_member_since == TimePoint::max() ||
      now - m_member_since < kMemberBeforeCold) {
    return false;
  }
  return m_cold_senders.IsOwn(server.Entry());
}

}  // namespace sorrelplank
