/// @file object_order.cc Ranking once, then insertion and removal.

#include "steer/object_order.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

#include "steer/server_track.h"

namespace sorrelplank {

namespace {

/// Objects that are kept, at 150 bytes each. Beyond it the order is forgotten
/// and found again as objects are asked for.
constexpr size_t kMostObjects = 4096;
/// With fewer left after removals, the order is found anew.
constexpr size_t kLeastKept = ObjectOrder::kKept / 2;

}  // namespace

uint64_t ObjectWeight(uint64_t object, const std::string& instance) {
  return XXH3_64bits_withSeed(instance.data(), instance.size(), object);
}

void ObjectOrder::Add(ServerTrack* server) {
  const std::string& instance = server->Entry().m_instance;
  for (auto& [object, places] : m_first) {
    const Place place{ObjectWeight(object, instance), server};
    ++m_weighed;
    // Behind the last of a part there are servers that were left out.
    const bool is_part = places.size() < m_servers;
    if (is_part && place.m_weight < places.back().m_weight) {
      continue;
    }
    const auto behind = std::find_if(
        places.begin(), places.end(),
        [&](const Place& one) { return one.m_weight < place.m_weight; });
    places.insert(behind, place);
    if (places.size() > kKept) {
      places.pop_back();
    }
  }
  ++m_servers;
}

void ObjectOrder::Remove(const ServerTrack* server) {
  --m_servers;
  for (auto it = m_first.begin(); it != m_first.end();) {
    Places& places = it->second;
    std::erase_if(places, [server](const Place& place) {
      return place.m_server == server;
    });
    const bool is_too_short = places.size() < std::min(kLeastKept, m_servers);
    it = is_too_short ? m_first.erase(it) : std::next(it);
  }
}

std::vector<ServerTrack*> ObjectOrder::FirstOf(
    uint64_t object,
    const std::vector<ServerTrack*>& all) {
  if (m_first.size() >= kMostObjects && !m_first.contains(object)) {
    m_first.clear();
  }
  const auto [it, is_new] = m_first.try_emplace(object);
  if (is_new) {
    it->second = RankAll(object, all);
  }
  std::vector<ServerTrack*> servers;
  servers.reserve(it->second.size());
  for (const Place& place : it->second) {
    servers.push_back(place.m_server);
  }
  return servers;
}

ObjectOrder::Places ObjectOrder::RankAll(uint64_t object,
                                         const std::vector<ServerTrack*>& all) {
  Places places;
  places.reserve(all.size());
  for (ServerTrack* server : all) {
    places.push_back(
        {ObjectWeight(object, server->Entry().m_instance), server});
  }
  m_weighed += all.size();
  const size_t kept = std::min(kKept, places.size());
  std::partial_sort(
      places.begin(), places.begin() + static_cast<std::ptrdiff_t>(kept),
      places.end(),
      [](const Place& a, const Place& b) { return a.m_weight > b.m_weight; });
  places.resize(kept);
  places.shrink_to_fit();
  return places;
}

}  // namespace sorrelplank
