/// @file replica_choice.cc Expected response times of candidate servers.

#include "steer/replica_choice.h"

#include <algorithm>
#include <limits>

#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// Servers, from the first in an object's ranking, that are assumed to have the
/// object cached. All entry VMs rank an object's first server first, so its
/// cache is warm through their requests, which this VM does not see. Assuming a
/// cache miss there sent the object to the second server on any wait.
constexpr size_t kAssumedCached = 1;
/// The same in a service with uneven capacity. Its first servers are full so
/// often that the second ones get the object from several VMs, too.
constexpr size_t kAssumedCachedUneven = ReplicaChoice::kServersPerObject;

size_t AssumedCached(bool has_object_affinity, bool is_uneven) {
  if (!has_object_affinity) {
    return std::numeric_limits<size_t>::max();
  }
  return is_uneven ? kAssumedCachedUneven : kAssumedCached;
}

/// Sets `fastest` to the time if it is shorter, and returns whether it was.
bool UpdateFastest(std::optional<double>& fastest, double time) {
  if (fastest && time >= *fastest) {
    return false;
  }
  fastest = time;
  return true;
}

}  // namespace

ReplicaChoice::ReplicaChoice(bool has_object_affinity, bool is_uneven)
    : m_has_object_affinity(has_object_affinity),
      m_assumed_cached(AssumedCached(has_object_affinity, is_uneven)) {}

ReplicaRank ReplicaChoice::Add(const ReplicaCandidate& candidate) {
  ReplicaRank rank;
  rank.m_is_cached = m_count < m_assumed_cached || candidate.m_was_sent_object;
  double time = ExpectedTime(candidate, rank.m_is_cached);
  if (m_count == 0) {
    m_first_work_factor = candidate.m_work_factor;
  } else if (m_count == 1 && m_has_object_affinity && rank.m_is_cached) {
    // Work without the object cached takes longer than on a slowed machine. The
    // requests ahead run on the same machine, so the wait scales as well.
    time *= candidate.m_work_factor;
    m_fastest_time = *m_fastest_time * m_first_work_factor;
    if (m_fastest_free_time) {
      m_fastest_free_time = *m_fastest_free_time * m_first_work_factor;
    }
  }
  ++m_count;
  rank.m_is_fastest = UpdateFastest(m_fastest_time, time);
  const bool has_room = candidate.m_occupancy + 1 <= candidate.m_limit;
  rank.m_is_fastest_free = has_room && UpdateFastest(m_fastest_free_time, time);
  return rank;
}

double ReplicaChoice::ExpectedTime(const ReplicaCandidate& candidate,
                                   bool is_cached) {
  const double surplus =
      candidate.m_occupancy + candidate.m_waiting + 1 - candidate.m_limit;
  const double wait = std::max(0.0, surplus) / std::max(1.0, candidate.m_limit);
  const double work = is_cached ? 1 : ServerState::kCacheMissFactor;
  return wait + work;
}

}  // namespace sorrelplank
