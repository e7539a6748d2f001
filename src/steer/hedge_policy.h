/// @file hedge_policy.h When a slow attempt is worth a second one.

#ifndef SORRELPLANK_STEER_HEDGE_POLICY_H_
#define SORRELPLANK_STEER_HEDGE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/time_type.h"
#include "steer/recent_median.h"

namespace sorrelplank {

/// The only attempt of a request that is in flight.
struct AttemptProgress {
  Duration m_time_since_sent{};
  /// Expected wait in the server's queue when the attempt was sent.
  Duration m_queue_met{};
  /// Usual latency without queue in the server's region; zero while unknown.
  Duration m_usual{};
};

/// The server that a second attempt would go to.
struct HedgeCandidate {
  bool m_has_free_slot = false;
  /// Whether it counts as having the object cached.
  bool m_is_cached = false;
  /// Whether the rate of requests to it is limited, by itself or because it is
  /// cold.
  bool m_is_rate_limited = false;
  /// Expected processing time on its machine in usual ones.
  double m_work_factor = 1;
  /// Usual latency without queue in its region.
  Duration m_usual{};
  /// Requests running and waiting per slot in its region.
  double m_region_utilisation = 0;
};

/// Decides on hedges within the target latency, for one service.
///
/// Load pattern: at low load, servers on shared machines take 2.5 times as long
/// in spells of 0.6 s, 0.15 of the time, and a few requests take 7 times as
/// long on their own account. A fifth of the responses was late although hardly
/// any request waited. A second attempt at the object's other server answers
/// within the target if it is sent early, and costs a slot that is free anyway.
///
/// In services whose servers report no such spells, an answer that takes longer
/// than usual is mostly a cache miss or a queue, where a second attempt helps
/// nobody.
class HedgePolicy {
 public:
  explicit HedgePolicy(size_t regions) : m_usual(regions) {}

  /// Records a server's processing time in percent of the usual one, if it
  /// reported any.
  void NoteReported(std::optional<uint32_t> work_percent, TimePoint as_of);

  /// Learns from a response what is usual in the server's region. `latency` is
  /// without queue; responses of slowed servers do not count.
  void AddAnswer(size_t region,
                 Duration latency,
                 std::optional<uint32_t> work_percent);

  /// Median latency without queue of unslowed servers of the region, network
  /// included; zero while unknown.
  Duration Usual(size_t region) const { return m_usual[region].Get(); }

  /// Whether servers of the service recently reported both usual and slowed
  /// work.
  bool IsActive(TimePoint now) const;

  /// Whether the attempt takes clearly longer than usual.
  static bool IsOverdue(const AttemptProgress& attempt);

  /// Whether a second attempt there is expected to be answered in time and
  /// takes no capacity that others need.
  static bool IsWorthwhile(const HedgeCandidate& candidate,
                           Duration time_to_target);

 private:
  std::vector<RecentMedian> m_usual;
  std::optional<TimePoint> m_slowed_at;
  std::optional<TimePoint> m_usual_at;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_HEDGE_POLICY_H_
