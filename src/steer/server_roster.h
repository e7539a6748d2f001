/// @file server_roster.h The servers of one service in one region.

#ifndef SORRELPLANK_STEER_SERVER_ROSTER_H_
#define SORRELPLANK_STEER_SERVER_ROSTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "steer/object_order.h"
#include "steer/region_shares.h"

namespace sorrelplank {

class ServerPicker;
class ServerTrack;
struct ServerEntry;
struct ServiceRules;

/// Sums of slots and loads that are kept up to date as servers change, so that
/// measuring the region looks at servers out of the ordinary only.
///
/// Load pattern: ten thousand servers, of which a VM hears from some dozens a
/// second. Looked at ten times a second, all of them would cost work that grows
/// with the fleet.
class ServerRoster {
 public:
  void Add(ServerTrack* server);
  void Remove(ServerTrack* server);
  /// A newer entry of the same run of a server.
  void Update(ServerTrack* server, ServerEntry entry, TimePoint now);

  /// To be called whenever a server may have turned cold, paused, leaving or
  /// gone; what it returned to by itself is found out.
  void NoteStanding(ServerTrack* server);
  /// To be called when a server's own report of its load came.
  void NoteReport(ServerTrack* server) { m_reported.insert(server); }

  const std::vector<ServerTrack*>& All() const { return m_all; }
  /// The servers that an object prefers, in their order; not all of them.
  std::vector<ServerTrack*> FirstOf(uint64_t object) {
    return m_order.FirstOf(object, m_all);
  }

  RegionLoad Measure(const ServerPicker& picker,
                     const ServiceRules& rules,
                     TimePoint now);

  void CountLookedAt(size_t servers) { m_looked_at += servers; }
  /// Servers that were looked at so far, to measure and to rank.
  uint64_t LookedAt() const { return m_looked_at + m_order.Weighed(); }

 private:
  /// By instance: sums come out the same in every run.
  struct ByInstance {
    bool operator()(const ServerTrack* a, const ServerTrack* b) const;
  };
  using Servers = std::set<ServerTrack*, ByInstance>;

  std::vector<ServerTrack*> m_all;
  ObjectOrder m_order;
  /// Slots of all servers, by failure domain.
  std::map<std::string, uint64_t> m_slots;
  /// Servers that may be cold, paused, leaving or gone.
  Servers m_special;
  /// Servers that may have told their load lately.
  Servers m_reported;
  uint64_t m_looked_at = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_ROSTER_H_
