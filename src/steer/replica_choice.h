/// @file replica_choice.h Choice among the servers that may hold an object.

#ifndef SORRELPLANK_STEER_REPLICA_CHOICE_H_
#define SORRELPLANK_STEER_REPLICA_CHOICE_H_

#include <cstddef>
#include <optional>

namespace sorrelplank {

/// A server that can take the request.
struct ReplicaCandidate {
  /// Requests in flight at the server, of all entry VMs.
  double m_occupancy = 0;
  /// Requests queued at this VM for a slot of the server.
  double m_waiting = 0;
  /// Maximum number of requests that the server should have in flight.
  double m_limit = 0;
  /// Whether this VM sent the server a request for the object recently.
  bool m_was_sent_object = false;
  /// Current duration of work on the server's machine, relative to the usual;
  /// counts only between two servers that have the object cached.
  double m_work_factor = 1;
};

/// How a candidate compares with those before it.
struct ReplicaRank {
  /// Expected to answer first; it may have no free slot.
  bool m_is_fastest = false;
  /// Expected to answer first among the candidates with a free slot.
  bool m_is_fastest_free = false;
  /// Counts as having the object cached.
  bool m_is_cached = false;
};

/// Compares the expected response times of a request's candidates, which are
/// added in the order of the object's ranking.
///
/// Load pattern: objects are hashed onto servers, and some are requested much
/// more often than others. In a service with uneven capacity (see
/// IsCapacityUneven), the busiest server of a region got 1.8 to 2.5 times the
/// mean load while an eighth of the servers got nothing. The second server of
/// an object was used only if waiting for the first cost more than a cache
/// miss. In such a service the first two servers both count as having the
/// object cached, so the one with the shorter wait takes the request; on equal
/// waits it is the first, so that at low load only one copy is populated. In
/// other services only the first server counts as having it cached, and those
/// that this VM recently sent the object to.
class ReplicaChoice {
 public:
  /// Servers that an object's requests go to while all are healthy. With more,
  /// a free slot would be found sooner, but more often at a server that does
  /// not have the object cached: servers would hold more objects than they can
  /// cache.
  static constexpr size_t kServersPerObject = 2;

  /// Without object affinity every server can be expected to answer equally
  /// fast.
  ReplicaChoice(bool has_object_affinity, bool is_uneven);

  /// Compares the next server of the ranking with those added before.
  ReplicaRank Add(const ReplicaCandidate& candidate);

  /// Number of candidates added so far.
  size_t Count() const { return m_count; }

 private:
  /// Expected time until the response, in usual latencies.
  static double ExpectedTime(const ReplicaCandidate& candidate, bool is_cached);

  bool m_has_object_affinity;
  /// Number of candidates, from the first, that count as having the object
  /// cached.
  size_t m_assumed_cached;
  size_t m_count = 0;
  double m_first_work_factor = 1;
  std::optional<double> m_fastest_time;
  std::optional<double> m_fastest_free_time;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REPLICA_CHOICE_H_
