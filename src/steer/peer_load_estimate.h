/// @file peer_load_estimate.h What other entry VMs have under way at a server.

#ifndef SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_
#define SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_

#include <cstdint>

#include "core/time_type.h"
#include "steer/quantile_estimator.h"

namespace sorrelplank {

struct AttemptReport;

/// Estimates between a server's reports how many requests of peer_requests it
/// has.
///
/// Load pattern: overload, and several VMs that send to the same server. Its
/// queue holds a multiple of its slots, and no VM knows more than its own part.
/// Reports that faded within a fixed 250 ms made a VM believe 1.7 requests
/// under way where there were 7; all of them then waited in the server's queue,
/// past their targets. A queue empties at the server's own pace, so the
/// estimate does: by its slots and by the time that it takes for a request.
class PeerLoadEstimate {
 public:
  /// A server reported so many requests that are not ours.
  void SetReported(double peer_requests, TimePoint as_of);

  /// An answer of the server, which has so many slots.
  void AddAnswer(const AttemptReport& report, uint32_t slots);

  /// How many there are, with own ones under way beside them.
  double At(TimePoint now, double own, uint32_t slots) const;

 private:
  double m_peer_requests = 0;
  TimePoint m_as_of{};
  /// Median time for which a request takes a slot.
  QuantileEstimator m_work{0.5};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_
