/// @file steered_service.h State of one service at this entry VM.

#ifndef SORRELPLANK_STEER_STEERED_SERVICE_H_
#define SORRELPLANK_STEER_STEERED_SERVICE_H_

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/admission.h"
#include "steer/hedge_policy.h"
#include "steer/region_latencies.h"
#include "steer/region_servers.h"
#include "steer/region_shares.h"
#include "steer/retry_budget_share.h"
#include "steer/send_forecast.h"
#include "steer/server_state.h"
#include "steer/work_estimate.h"

namespace sorrelplank {

class ServerPicker;

/// Servers, wait queue, split over regions and rates of one service.
class SteeredService {
 public:
  /// Regions are numbered by the caller; `own` is this VM's region.
  SteeredService(size_t regions,
                 size_t own,
                 Duration retry_window,
                 double uneven_capacity_ratio);

  void AddServer(const std::shared_ptr<ServerState>& server);
  void RemoveServer(const std::string& instance);
  /// Applies a newer entry of the same run of a server.
  void UpdateServer(ServerState& server, ServerEntry entry, TimePoint now);
  RegionServers& ServersIn(size_t region) { return m_by_region[region]; }
  /// The servers of the region that the server is in.
  RegionServers& RegionServersOf(const ServerState& server) {
    return m_by_region[server.Region()];
  }
  /// Number of servers examined so far for measuring regions and ranking.
  uint64_t ServersExamined() const;

  /// Records the outcome of an attempt at a request of the route.
  void CountEnd(const ServerState& server,
                const AttemptReport& report,
                const std::string& route);
  ServiceBaseline Usual() const { return UsualIn(m_own_region); }
  /// The service's baseline for servers of the region.
  ServiceBaseline UsualIn(size_t region) const;
  /// What is known for a request of the route that is sent to the server now,
  /// apart from its object and from the requests queued here.
  SendConditions ConditionsAt(const ServerState& server,
                              const std::string& route,
                              TimePoint now) const;
  /// Whether the work of the route's requests is known well enough.
  bool KnowsWork(const std::string& route) const;
  /// Whether its slots are spread unevenly over the regions.
  bool IsUneven() const { return m_is_uneven; }
  /// State of the queue for a server; of an empty one if the server is nullptr.
  QueueState QueueAt(const ServerState* server, TimePoint now) const;

  /// Measures the load of each region and shifts the split. `shortest_target`
  /// is that of the service's routes.
  void UpdateShares(const ServerPicker& picker,
                    double max_shift_per_second,
                    const MovedAwayBounds& bounds,
                    Duration shortest_target,
                    TimePoint now);

  /// Records that a request for the service arrived.
  void NoteInUse(TimePoint now);
  /// Whether requests arrived recently.
  bool IsInUse(TimePoint now) const;

  const RegionShares& Shares() const { return m_shares; }
  /// The own region's share if it has changed significantly since this method
  /// last returned it.
  std::optional<double> ShareToLog();
  /// Whether regions take its objects by their slots.
  bool IsSplitBySlots() const { return m_is_split_by_slots; }
  /// Whether the service is uneven, if that has changed since this method last
  /// returned it.
  std::optional<bool> UnevenToLog();
  RetryBudgetShare& Retries() { return m_retries; }
  HedgePolicy& Hedges() { return m_hedges; }
  /// Waiting requests in the order in which they are served.
  std::list<RequestId>& Waiting() { return m_waiting; }

 private:
  size_t m_own_region;
  std::vector<RegionServers> m_by_region;
  std::map<std::string, std::shared_ptr<ServerState>> m_servers;
  RegionShares m_shares;
  double m_logged_share = 1;
  RetryBudgetShare m_retries;
  HedgePolicy m_hedges;
  std::optional<TimePoint> m_last_request;
  std::list<RequestId> m_waiting;
  QuantileEstimator m_latency{0.5};
  RegionLatencies m_region_latencies;
  /// By route. Routes that are no longer configured stay: a few bytes each.
  std::map<std::string, WorkEstimate> m_work;
  double m_rejections = 0;
  double m_uneven_capacity_ratio;
  bool m_is_uneven = false;
  bool m_is_split_by_slots = false;
  bool m_logged_uneven = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERED_SERVICE_H_
