/// @file server_picker.h Picks the backend server of a request in one region.

#ifndef SORRELPLANK_STEER_SERVER_PICKER_H_
#define SORRELPLANK_STEER_SERVER_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "steer/cold_server_assignment.h"
#include "steer/domain_breaker.h"
#include "steer/fleet_member_type.h"
#include "steer/service_baseline_type.h"
#include "steer/steering_settings_type.h"

namespace sorrelplank {

class ServerLimits;
class RegionServers;
class ServerState;
struct ServerEntry;
struct ServiceRules;

/// Properties of a request that decide which server is picked.
struct PickCriteria {
  /// Hash of the object that the request is about.
  uint64_t m_object = 0;
  bool m_has_object_affinity = false;
  /// Whether the request waits at this VM; those ahead of it that wait for the
  /// same server have been considered before it.
  bool m_is_queued = false;
  /// Instances that the request was already sent to.
  const std::vector<std::string>* m_tried = nullptr;
  ServiceBaseline m_usual;
  /// Decides which servers with a rate limit may be tried; nullptr allows all.
  const ServerLimits* m_limits = nullptr;
  /// Whether to include servers with a rate limit that are normally left to the
  /// VMs of their own region.
  bool m_allows_remote_limited = false;
};

/// Servers picked for a request; nullptr if there is none.
struct Choice {
  /// First server in the object's ranking that can take the request.
  const ServerState* m_first = nullptr;
  /// Expected to answer first; may have no free slot.
  ServerState* m_fastest = nullptr;
  /// Expected to answer first among the servers with a free slot.
  ServerState* m_fastest_free = nullptr;
  /// Whether the object counts as cached at them.
  bool m_is_fastest_cached = false;
  bool m_is_fastest_free_cached = false;
  /// Servers skipped because they currently ask for no more requests.
  uint32_t m_passed_over = 0;
};

/// Picks among the servers of one service and region.
///
/// Load pattern: servers work 3.3 times as fast on objects that they handled
/// recently, and have only some objects cached. Each object therefore has a
/// fixed ranking of servers by rendezvous hashing (highest random weight), so
/// that a server that joins or leaves moves only its own objects. Among the top
/// servers of that ranking, the request goes to the one expected to answer
/// first: a short wait for a server with a warm cache is better than a free
/// slot at one without.
class ServerPicker {
 public:
  explicit ServerPicker(const SteeringSettings& settings);

  void SetFleet(std::vector<FleetMember> fleet, TimePoint now);
  void SetEvacuated(std::set<std::string> domains);

  /// Whether the store's data on servers can currently not be confirmed, so
  /// that changes to servers may be missing.
  void SetDataStale(bool is_stale) { m_is_data_stale = is_stale; }
  bool IsDataStale() const { return m_is_data_stale; }
  /// Whether, while the data is stale, VMs of other regions miss changes too.
  /// The store then takes no changes that this VM alone could miss.
  void SetStoreAwayForAll(bool is_away) { m_is_store_away_for_all = is_away; }

  const std::vector<FleetMember>& Fleet() const { return m_fleet; }
  /// Number of weights computed so far to assign cold servers to VMs.
  uint64_t VmWeightsComputed() const {
    return m_cold_assignment.WeightsComputed();
  }
  bool IsEvacuated(const std::string& domain) const;

  /// Whether the server may be sent requests at all: it is not leaving, gone or
  /// evacuated.
  bool IsUsable(const ServerState& server) const;

  /// Whether a request may be sent to the server now, according to the store
  /// and to the server's own notices.
  bool MaySend(const ServerState& server, TimePoint now) const;

  /// Whether the server can be expected to accept requests of this VM now:
  /// MaySend() is true, the breaker of its failure domain is closed, and if it
  /// is cold, it is assigned to this VM.
  bool IsReachable(const ServerState& server, TimePoint now) const;

  bool IsBreakerOpen(const std::string& domain, TimePoint now) const;

  /// Circuit breaker of a failure domain.
  DomainBreaker& Breaker(const std::string& domain) {
    return m_breakers[domain];
  }

  /// Closes the breakers of all failure domains.
  void ResetBreakers() { m_breakers.clear(); }

  Choice Pick(RegionServers& servers,
              const ServiceRules& rules,
              const PickCriteria& criteria,
              TimePoint now) const;

  /// Whether the server counts as having the object of the request cached. In
  /// services with uneven capacity an object's first two servers do, in others
  /// the first; besides these, any that this VM sent the object to recently.
  bool HasObjectCached(RegionServers& servers,
                       const ServerState& server,
                       const PickCriteria& criteria,
                       TimePoint now) const;

  /// Requests that this VM may send to the server within any second; no value
  /// means no limit.
  ///
  /// A cold server gets at most half of its limit from the VM that it is
  /// assigned to. The other half is shared by the VMs of its region while they
  /// may have missed that it is cold: however many of them do, and whoever they
  /// take for the assigned one, their parts sum to that half.
  std::optional<uint32_t> RateLimit(const ServerState& server,
                                    const ServiceRules& rules,
                                    TimePoint now) const;

 private:
  using Ranked = std::vector<ServerState*>;
  /// Whether the server, or its whole failure domain, should be avoided while
  /// others can take the request.
  bool ShouldAvoid(const ServerState& server,
                   const PickCriteria& criteria,
                   TimePoint now) const;
  /// Usable servers, best first.
  Ranked Rank(const std::vector<ServerState*>& servers,
              const PickCriteria& criteria,
              TimePoint now) const;
  /// Picks among the top-ranked servers of the object; no value if too few of
  /// them can take the request.
  std::optional<Choice> PickAmongTop(RegionServers& servers,
                                     const ServiceRules& rules,
                                     const PickCriteria& criteria,
                                     TimePoint now) const;
  /// Picks among the first servers in the given order that can take the
  /// request; `considered` returns how many were compared.
  Choice PickInOrder(const Ranked& ranked,
                     const ServiceRules& rules,
                     const PickCriteria& criteria,
                     size_t& considered,
                     TimePoint now) const;

  uint32_t ColdLimit(const ServiceRules& rules) const;
  /// The limit while the store is away for all VMs.
  uint32_t OutageLimit(const ServiceRules& rules) const;
  /// Whether this VM is the one that sends to the cold server.
  bool IsAssignedColdServer(const ServerState& server, TimePoint now) const;

  const SteeringSettings& m_settings;
  std::map<std::string, DomainBreaker> m_breakers;
  std::vector<FleetMember> m_fleet;
  /// Number of entry VMs in this VM's region.
  size_t m_vms_in_region = 0;
  /// Mutable since it caches its results.
  mutable ColdServerAssignment m_cold_assignment;
  TimePoint m_member_since = TimePoint::max();
  std::set<std::string> m_evacuated;
  bool m_is_data_stale = false;
  bool m_is_store_away_for_all = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_PICKER_H_
