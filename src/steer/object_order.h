/// @file object_order.h The order in which objects prefer servers.

#ifndef SORRELPLANK_STEER_OBJECT_ORDER_H_
#define SORRELPLANK_STEER_OBJECT_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelplank {

class ServerTrack;

/// Weight of a server for an object; the largest is the first choice.
uint64_t ObjectWeight(uint64_t object, const std::string& instance);

/// Keeps the first servers of the objects that are asked for, by highest random
/// weight, while servers come and go.
///
/// Load pattern: a region with thousands of servers. Ranked anew for each
/// request, they cost work that grows with the fleet.
class ObjectOrder {
 public:
  /// Servers kept for one object. A request has two to choose from; the others
  /// stand in where some of them rest, leave or are cold.
  static constexpr size_t kKept = 8;

  void Add(ServerTrack* server);
  void Remove(const ServerTrack* server);

  /// The first servers of an object, at most kKept of all that are given.
  std::vector<ServerTrack*> FirstOf(uint64_t object,
                                    const std::vector<ServerTrack*>& all);

  /// Servers whose weight was computed so far.
  uint64_t Weighed() const { return m_weighed; }

 private:
  struct Place {
    uint64_t m_weight;
    ServerTrack* m_server;
  };
  using Places = std::vector<Place>;

  Places RankAll(uint64_t object, const std::vector<ServerTrack*>& all);

  std::unordered_map<uint64_t, Places> m_first;
  /// Servers that were added and not removed.
  size_t m_servers = 0;
  uint64_t m_weighed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_OBJECT_ORDER_H_
