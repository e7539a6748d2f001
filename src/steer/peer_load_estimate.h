/// @file peer_load_estimate.h Estimates the requests of other entry VMs at a
/// backend server.

#ifndef SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_
#define SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_

#include <cstdint>

#include "core/time_type.h"
#include "steer/quantile_estimator.h"

namespace sorrelplank {

struct AttemptReport;
struct ServiceBaseline;

/// Estimates how many requests of other entry VMs a server has between its load
/// reports.
///
/// Load pattern: overload, with several VMs sending to the same server. Its
/// queue holds a multiple of its slots, and each VM knows only its own
/// requests. Letting reports decay within a fixed 250 ms made a VM assume 1.7
/// requests in flight where there were 7; all of these then waited in the
/// server's queue, past their target latencies. A queue drains at the server's
/// own rate, so the estimate does too: by its slots and its processing time per
/// request.
///
/// In a service with uneven capacity (see IsCapacityUneven), a VM meets a given
/// server only every ten seconds or so, and mostly has no response of it. The
/// service's usual time in a slot stands in: without it queues were assumed to
/// be gone a few milliseconds after a report, and senders that believed in 3
/// requests met 16 to 21.
class PeerLoadEstimate {
 public:
  /// Sets the number of other VMs' requests that the server reported.
  void SetReported(double peer_requests, TimePoint as_of);

  /// Learns the processing time from a response of the server.
  void AddAnswer(const AttemptReport& report, uint32_t slots);

  /// Estimated number of other VMs' requests; `own` is the number of this VM's
  /// requests in flight there.
  double At(TimePoint now,
            double own,
            uint32_t slots,
            const ServiceBaseline& usual) const;

 private:
  double m_peer_requests = 0;
  TimePoint m_as_of{};
  /// Median time for which a request occupies a slot.
  QuantileEstimator m_work{0.5};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_PEER_LOAD_ESTIMATE_H_
