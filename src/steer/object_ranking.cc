/// @file object_ranking.cc Initial ranking, then incremental insertion and
/// removal.

#include "steer/object_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// Objects with a cached ranking, at 150 bytes each. Beyond it all rankings are
/// cleared and computed again on demand.
constexpr size_t kMaxObjects = 4096;
/// A ranking that removals leave with fewer servers is computed again.
constexpr size_t kMinRankedServers = ObjectRanking::kMaxRankedServers / 2;

}  // namespace

uint64_t ObjectWeight(uint64_t object, const std::string& instance) {
  return XXH3_64bits_withSeed(instance.data(), instance.size(), object);
}

void ObjectRanking::Add(ServerState* server) {
  const std::string& instance = server->Entry().m_instance;
  for (auto& [object, ranking] : m_rankings) {
    const RankedServer ranked{ObjectWeight(object, instance), server};
    ++m_weights_computed;
    // A truncated ranking lacks the servers below its last one, so a server
    // below that must not be appended.
    const bool is_truncated = ranking.size() < m_servers;
    if (is_truncated && ranked.m_weight < ranking.back().m_weight) {
      continue;
    }
    const auto position = std::find_if(ranking.begin(), ranking.end(),
                                       [&](const RankedServer& one) {
                                         return one.m_weight < ranked.m_weight;
                                       });
    ranking.insert(position, ranked);
    if (ranking.size() > kMaxRankedServers) {
      ranking.pop_back();
    }
  }
  ++m_servers;
}

void ObjectRanking::Remove(const ServerState* server) {
  --m_servers;
  for (auto it = m_rankings.begin(); it != m_rankings.end();) {
    Ranking& ranking = it->second;
    std::erase_if(ranking, [server](const RankedServer& ranked) {
      return ranked.m_server == server;
    });
    const bool is_too_short =
        ranking.size() < std::min(kMinRankedServers, m_servers);
    it = is_too_short ? m_rankings.erase(it) : std::next(it);
  }
}

std::vector<ServerState*> ObjectRanking::TopServers(
    uint64_t object,
    const std::vector<ServerState*>& all) {
  if (m_rankings.size() >= kMaxObjects && !m_rankings.contains(object)) {
    m_rankings.clear();
  }
  const auto [it, is_new] = m_rankings.try_emplace(object);
  if (is_new) {
    it->second = RankAll(object, all);
  }
  std::vector<ServerState*> servers;
  servers.reserve(it->second.size());
  for (const RankedServer& ranked : it->second) {
    servers.push_back(ranked.m_server);
  }
  return servers;
}

ObjectRanking::Ranking ObjectRanking::RankAll(
    uint64_t object,
    const std::vector<ServerState*>& all) {
  Ranking ranking;
  ranking.reserve(all.size());
  for (ServerState* server : all) {
    ranking.push_back(
        {ObjectWeight(object, server->Entry().m_instance), server});
  }
  m_weights_computed += all.size();
  const size_t kept = std::min(kMaxRankedServers, ranking.size());
  std::partial_sort(
      ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(kept),
      ranking.end(), [](const RankedServer& a, const RankedServer& b) {
        return a.m_weight > b.m_weight;
      });
  ranking.resize(kept);
  ranking.shrink_to_fit();
  return ranking;
}

}  // namespace sorrelplank
