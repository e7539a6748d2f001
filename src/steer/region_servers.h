/// @file region_servers.h The servers of one service in one region.

#ifndef SORRELPLANK_STEER_REGION_SERVERS_H_
#define SORRELPLANK_STEER_REGION_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "steer/object_ranking.h"
#include "steer/region_shares.h"

namespace sorrelplank {

class ServerPicker;
class ServerState;
struct ServerEntry;
struct ServiceRules;

/// Sums of slots and loads that are kept up to date as servers change, so that
/// measuring the region looks at servers out of the ordinary only.
///
/// Load pattern: ten thousand servers, of which a VM hears from some dozens a
/// second. Looked at ten times a second, all of them would cost work that grows
/// with the fleet.
class RegionServers {
 public:
  void Add(ServerState* server);
  void Remove(ServerState* server);
  /// A newer entry of the same run of a server.
  void Update(ServerState* server, ServerEntry entry, TimePoint now);

  /// To be called whenever a server may have turned cold, paused, leaving or
  /// gone; what it returned to by itself is found out.
  void NoteStatusChange(ServerState* server);
  /// To be called when a server's own report of its load came.
  void NoteLoadReport(ServerState* server) { m_reported.insert(server); }

  const std::vector<ServerState*>& All() const { return m_all; }
  /// The servers that an object prefers, in their order; not all of them.
  std::vector<ServerState*> TopServers(uint64_t object) {
    return m_object_ranking.TopServers(object, m_all);
  }

  RegionLoad Measure(const ServerPicker& picker,
                     const ServiceRules& rules,
                     TimePoint now);

  void CountExamined(size_t servers) { m_examined += servers; }
  /// Servers that were looked at so far, to measure and to rank.
  uint64_t Examined() const {
    return m_examined + m_object_ranking.WeightsComputed();
  }

 private:
  /// By instance: sums come out the same in every run.
  struct ByInstance {
    bool operator()(const ServerState* a, const ServerState* b) const;
  };
  using Servers = std::set<ServerState*, ByInstance>;

  std::vector<ServerState*> m_all;
  ObjectRanking m_object_ranking;
  /// Slots of all servers, by failure domain.
  std::map<std::string, uint64_t> m_slots;
  /// Servers that may be cold, paused, leaving or gone.
  Servers m_restricted;
  /// Servers that may have told their load lately.
  Servers m_reported;
  uint64_t m_examined = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REGION_SERVERS_H_
