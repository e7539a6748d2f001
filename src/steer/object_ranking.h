/// @file object_ranking.h Ranks servers for each object by rendezvous hashing.

#ifndef SORRELPLANK_STEER_OBJECT_RANKING_H_
#define SORRELPLANK_STEER_OBJECT_RANKING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelplank {

class ServerState;

/// Hash weight of a server for an object; the largest weight ranks first.
uint64_t ObjectWeight(uint64_t object, const std::string& instance);

/// Caches the top-ranked servers of each requested object (rendezvous hashing,
/// highest random weight) and updates them as servers are added and removed.
///
/// Load pattern: a region with thousands of servers. Ranking them for every
/// request would cost work that grows with the fleet.
class ObjectRanking {
 public:
  /// Servers cached for one object. A request chooses between two; the others
  /// replace those that are ejected, leaving or cold.
  static constexpr size_t kMaxRankedServers = 8;

  void Add(ServerState* server);
  void Remove(const ServerState* server);

  /// The object's top-ranked servers out of `all`, at most kMaxRankedServers.
  std::vector<ServerState*> TopServers(uint64_t object,
                                       const std::vector<ServerState*>& all);

  /// Number of weights computed so far.
  uint64_t WeightsComputed() const { return m_weights_computed; }

 private:
  struct RankedServer {
    uint64_t m_weight;
    ServerState* m_server;
  };
  using Ranking = std::vector<RankedServer>;

  Ranking RankAll(uint64_t object, const std::vector<ServerState*>& all);

  std::unordered_map<uint64_t, Ranking> m_rankings;
  /// Number of servers added and not removed.
  size_t m_servers = 0;
  uint64_t m_weights_computed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_OBJECT_RANKING_H_
