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
#include "steer/region_latencies.h"
#include "steer/region_shares.h"
#include "steer/retry_budget_share.h"
#include "steer/server_roster.h"
#include "steer/server_track.h"

namespace sorrelplank {

class ServerPicker;
struct ServiceRules;

/// Servers, waiting requests and rates of one service.
class SteeredService {
 public:
  /// Regions are numbered by the caller; own is this VM's.
  SteeredService(size_t regions, size_t own, Duration retry_window);

  void AddServer(const std::shared_ptr<ServerTrack>& server);
  void RemoveServer(const std::string& instance);
  /// Takes a newer entry of the same run of a server.
  void UpdateServer(ServerTrack& server, ServerEntry entry, TimePoint now);
  ServerRoster& ServersOf(size_t region) { return m_by_region[region]; }
  /// The servers' list that the server is in.
  ServerRoster& ListOf(const ServerTrack& server) {
    return m_by_region[server.Region()];
  }
  /// Servers that were looked at so far to measure regions and to rank.
  uint64_t ServersLookedAt() const;

  /// Notes the end of a send.
  void CountEnd(const ServerTrack& server, const AttemptReport& report);
  ServiceBaseline Usual() const { return {m_latency.Get(), m_rejections}; }
  /// The line at a server; at none where it is nullptr.
  LineState Line(const ServerTrack* server, TimePoint now) const;

  /// Measures the load of each region and moves the split.
  void UpdateShares(const ServerPicker& picker,
                    const ServiceRules& rules,
                    double most_shift_per_second,
                    const MovedAwayBounds& bounds,
                    TimePoint now);

  /// A request arrived.
  void CountRequest(TimePoint now);
  /// Whether requests came lately.
  bool IsInUse(TimePoint now) const;

  const RegionShares& Shares() const { return m_shares; }
  /// The own region's share if it has changed much since this last told it.
  std::optional<double> ShareToTell();
  RetryBudgetShare& Retries() { return m_retries; }
  /// Waiting requests in the order in which they are served.
  std::list<RequestId>& Waiting() { return m_waiting; }

 private:
  size_t m_own;
  std::vector<ServerRoster> m_by_region;
  std::map<std::string, std::shared_ptr<ServerTrack>> m_servers;
  RegionShares m_shares;
  double m_told_share = 1;
  RetryBudgetShare m_retries;
  std::optional<TimePoint> m_last_request;
  std::list<RequestId> m_waiting;
  QuantileTrack m_latency{0.5};
  RegionLatencies m_times;
  double m_rejections = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERED_SERVICE_H_
