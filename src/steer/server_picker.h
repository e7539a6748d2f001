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
#include "steer/cold_senders.h"
#include "steer/domain_breaker.h"
#include "steer/fleet_member_type.h"
#include "steer/service_baseline_type.h"
#include "steer/steering_settings_type.h"

namespace sorrelplank {

class ServerLimits;
class ServerRoster;
class ServerTrack;
struct ServerEntry;
struct ServiceRules;

/// What matters of a request for the pick.
struct PickNeed {
  /// Hash of the object that the request is about.
  uint64_t m_object = 0;
  bool m_has_object_affinity = false;
  /// Instances that the request was sent to before.
  const std::vector<std::string>* m_tried = nullptr;
  ServiceBaseline m_usual;
  /// Which servers with a limit may be tried; nullptr: all.
  const ServerLimits* m_limits = nullptr;
  /// Whether servers with a limit that are left to the VMs of their region may
  /// be taken as well.
  bool m_takes_remote_limited = false;
};

/// Servers for a request; nullptr where there is none.
struct Choice {
  /// Expected to answer first; it may have no free slot.
  ServerTrack* m_first = nullptr;
  /// Expected to answer first among those that have a free slot.
  ServerTrack* m_free = nullptr;
  /// Servers that were left out, since they ask for no more requests now.
  uint32_t m_passed_over = 0;
};

/// Picks among the servers of one service and region.
///
/// Load pattern: servers work 3.3 times as fast on objects that they handled
/// lately, and remember only some. Each object therefore has a fixed order of
/// servers, by highest random weight; a server that joins or leaves moves only
/// its own objects. Of the first servers of that order, the request goes to the
/// one expected to answer first: a short wait for a warm server beats a free
/// slot at one that is not warm.
class ServerPicker {
 public:
  explicit ServerPicker(const SteeringSettings& settings);

  void SetFleet(std::vector<FleetMember> fleet, TimePoint now);
  void SetEvacuated(std::set<std::string> domains);

  /// Whether nothing new can be learned of servers at the moment.
  void SetCutOff(bool is_cut_off) { m_is_cut_off = is_cut_off; }
  bool IsCutOff() const { return m_is_cut_off; }

  const std::vector<FleetMember>& Fleet() const { return m_fleet; }
  /// VMs that were weighed so far to find who sends to cold servers.
  uint64_t VmsWeighed() const { return m_cold_senders.Weighed(); }
  bool IsEvacuated(const std::string& domain) const;

  /// Whether requests may be sent to the server at all.
  bool IsUsable(const ServerTrack& server) const;

  /// Whether a request may be sent to the server now, by what the store and the
  /// server itself say.
  bool MaySend(const ServerTrack& server, TimePoint now) const;

  /// Whether this VM can expect to have requests taken by the server now: its
  /// failure domain is within reach, and a cold one is not left to another VM.
  bool IsWithinReach(const ServerTrack& server,
                     const ServiceRules& rules,
                     TimePoint now) const;

  bool IsBreakerOpen(const std::string& domain, TimePoint now) const;

  /// The breaker of a failure domain.
  DomainBreaker& Breaker(const std::string& domain) {
    return m_breakers[domain];
  }

  Choice Pick(ServerRoster& servers,
              const ServiceRules& rules,
              const PickNeed& need,
              TimePoint now) const;

  /// Requests that this VM may send to a server in any second; nothing where
  /// there is no bound.
  std::optional<uint32_t> RateLimit(const ServerTrack& server,
                                    const ServiceRules& rules,
                                    TimePoint now) const;

 private:
  using Ranked = std::vector<ServerTrack*>;
  /// Whether the server, or its whole failure domain, should be left alone
  /// while others can take the request.
  bool Rests(const ServerTrack& server,
             const PickNeed& need,
             TimePoint now) const;
  /// Usable servers in the order of choice.
  Ranked Rank(const std::vector<ServerTrack*>& servers,
              const PickNeed& need,
              TimePoint now) const;
  /// Chooses among the servers that an object prefers; nothing where too few of
  /// them can take the request.
  std::optional<Choice> PickAmongFirst(ServerRoster& servers,
                                       const ServiceRules& rules,
                                       const PickNeed& need,
                                       TimePoint now) const;
  /// Chooses among the first servers of the order that take the request; counts
  /// in `considered` how many did.
  Choice PickInOrder(const Ranked& ranked,
                     const ServiceRules& rules,
                     const PickNeed& need,
                     size_t& considered,
                     TimePoint now) const;

  uint32_t ColdLimit(const ServiceRules& rules) const;
  uint32_t CutOffLimit(const ServiceRules& rules) const;
  /// Whether this VM is the one that sends to a cold server.
  bool IsColdSender(const ServerTrack& server, TimePoint now) const;

  const SteeringSettings& m_settings;
  std::map<std::string, DomainBreaker> m_breakers;
  std::vector<FleetMember> m_fleet;
  /// Entry VMs of the own region.
  size_t m_vms_in_region = 0;
  /// Keeps answers.
  mutable ColdSenders m_cold_senders;
  TimePoint m_member_since = TimePoint::max();
  std::set<std::string> m_evacuated;
  bool m_is_cut_off = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_PICKER_H_
