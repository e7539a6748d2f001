/// @file object_ranking.h The order in which objects prefer servers.

#ifndef SORRELPLANK_STEER_OBJECT_RANKING_H_
#define SORRELPLANK_STEER_OBJECT_RANKING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelplank {

class ServerState;

/// Weight of a server for an object; the largest is the first choice.
uint64_t ObjectWeight(uint64_t object, const std::string& instance);

/// Keeps the first servers of the objects that are asked for, by highest random
/// weight, while servers come and go.
///
/// Load pattern: a region with thousands of servers. Ranked anew for each
/// request, they cost work that grows with the fleet.
class ObjectRanking {
 public:
  /// Servers kept for one object. A request has two to choose from; the others
  /// stand in where some of them rest, leave or are cold.
  static constexpr size_t kMaxRankedServers = 8;

  void Add(ServerState* server);
  void Remove(const ServerState* server);

  /// The first servers of an object, at most kMaxRankedServers of all that are
  /// given.
  std::vector<ServerState*> TopServers(uint64_t object,
                                       const std::vector<ServerState*>& all);

  /// Servers whose weight was computed so far.
  uint64_t WeightsComputed() const { return m_weights_computed; }

 private:
  struct RankedServer {
    uint64_t m_weight;
    ServerState* m_server;
  };
  using Ranking = std::vector<RankedServer>;

  Ranking RankAll(uint64_t object, const std::vector<ServerState*>& all);

  std::unordered_map<uint64_t, Ranking> m_rankings;
  /// Servers that were added and not removed.
  size_t m_servers = 0;
  uint64_t m_weights_computed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_OBJECT_RANKING_H_
