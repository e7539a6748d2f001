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

/// Maintains sums of slots and loads as servers change, so that measuring the
/// region only examines the few servers with a special status or a recent
/// report.
///
/// Load pattern: ten thousand servers, of which a VM receives responses from a
/// few dozen per second. Examining all of them ten times a second would cost
/// work that grows with the fleet.
class RegionServers {
 public:
  void Add(ServerState* server);
  void Remove(ServerState* server);
  /// Applies a newer entry of the same run of a server.
  void Update(ServerState* server, ServerEntry entry, TimePoint now);

  /// To be called whenever a server may have become cold, paused, leaving or
  /// gone. The return to normal is detected without a call.
  void NoteStatusChange(ServerState* server);
  /// To be called when a load report of the server arrives.
  void NoteLoadReport(ServerState* server) { m_reported.insert(server); }

  const std::vector<ServerState*>& All() const { return m_all; }
  /// The object's top-ranked servers, in order; not all servers.
  std::vector<ServerState*> TopServers(uint64_t object) {
    return m_object_ranking.TopServers(object, m_all);
  }

  RegionLoad Measure(const ServerPicker& picker, TimePoint now);

  /// Slots of all servers, whether they can be sent to or not.
  double RegisteredSlots() const;

  void CountExamined(size_t servers) { m_examined += servers; }
  /// Number of servers examined so far for measuring and ranking.
  uint64_t Examined() const {
    return m_examined + m_object_ranking.WeightsComputed();
  }

 private:
  /// Orders by instance, so that floating-point sums are the same in every run.
  struct ByInstance {
    bool operator()(const ServerState* a, const ServerState* b) const;
  };
  using Servers = std::set<ServerState*, ByInstance>;

  std::vector<ServerState*> m_all;
  ObjectRanking m_object_ranking;
  /// Total slots by failure domain.
  std::map<std::string, uint64_t> m_slots;
  /// Servers that may be cold, paused, leaving or gone.
  Servers m_restricted;
  /// Servers that may have reported their load recently.
  Servers m_reported;
  uint64_t m_examined = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REGION_SERVERS_H_
