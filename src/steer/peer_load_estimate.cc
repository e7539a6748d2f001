/// @file peer_load_estimate.cc Draining of a server's queue between reports.

#include "steer/peer_load_estimate.h"

#include <algorithm>

#include "steer/service_baseline_type.h"
#include "steer/slot_time_fraction_func.h"

namespace sorrelplank {

namespace {

/// Lower bound of the time that a request occupies a slot; assumed before the
/// first response. Shorter than any deployment's usual processing time, so that
/// a server of which nothing is known soon counts as free again.
constexpr double kMinWorkMs = 30;
/// Factor by which a queue is assumed to drain faster than the server's slots
/// allow. A slot left idle because the queue is overestimated costs more than
/// one request too many in the queue. Value of the responses to their callers,
/// relative to the maximum, over five days with six seeds each: 0.570 with 1.5,
/// 0.581 with 2.5, 0.573 with 4.
constexpr double kDrainSpeedup = 2.5;
/// The same in a service with uneven capacity: its servers stay full for long,
/// and requests of other VMs arrive as fast as requests end.
constexpr double kUnevenDrainSpeedup = 1;

}  // namespace

void PeerLoadEstimate::SetReported(double peer_requests, TimePoint as_of) {
  m_peer_requests = peer_requests;
  m_as_of = as_of;
}

void PeerLoadEstimate::AddAnswer(const AttemptReport& report, uint32_t slots) {
  m_work.Add(std::chrono::duration_cast<Duration>(
      report.m_latency * SlotTimeFraction(report, slots)));
}

double PeerLoadEstimate::At(TimePoint now,
                            double own,
                            uint32_t slots,
                            const ServiceBaseline& usual) const {
  const bool uses_service_time =
      usual.m_is_uneven && m_work.Get() == Duration::zero();
  const Duration slot_time =
      uses_service_time ? usual.m_slot_time : m_work.Get();
  const double work = std::max(kMinWorkMs, ToMilliseconds(slot_time));
  const double speedup =
      usual.m_is_uneven ? kUnevenDrainSpeedup : kDrainSpeedup;
  const double ends = speedup * slots * ToMilliseconds(now - m_as_of) / work;
  const double peer_fraction =
      m_peer_requests / std::max(1.0, m_peer_requests + own);
  return std::max(0.0, m_peer_requests - ends * peer_fraction);
}

}  // namespace sorrelplank
