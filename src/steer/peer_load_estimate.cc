/// @file peer_load_estimate.cc Emptying of a queue between reports.

#include "steer/peer_load_estimate.h"

#include <algorithm>

#include "steer/slot_time_fraction_func.h"

namespace sorrelplank {

namespace {

/// Least time that a slot is taken for a request, in milliseconds; also before
/// the first answer. Shorter than any deployment's usual work, so that a server
/// of which nothing is known seems free again soon.
constexpr double kMinWorkMs = 30;
/// How much faster than its slots allow a queue is taken to empty. A slot that
/// idles because a queue is thought to be longer than it is costs more than a
/// request too many in the queue. Worth of the answers to their callers, of the
/// most possible, over five days with six seeds each: 0.570 with 1.5, 0.581
/// with 2.5, 0.573 with 4.
constexpr double kDrainSpeedup = 2.5;

}  // namespace

void PeerLoadEstimate::SetReported(double peer_requests, TimePoint as_of) {
  m_peer_requests = peer_requests;
  m_as_of = as_of;
}

void PeerLoadEstimate::AddAnswer(const AttemptReport& report, uint32_t slots) {
  m_work.Add(std::chrono::duration_cast<Duration>(
      report.m_latency * SlotTimeFraction(report, slots)));
}

double PeerLoadEstimate::At(TimePoint now, double own, uint32_t slots) const {
  const double work = std::max(kMinWorkMs, ToMilliseconds(m_work.Get()));
  const double ends =
      kDrainSpeedup * slots * ToMilliseconds(now - m_as_of) / work;
  const double peer_fraction =
      m_peer_requests / std::max(1.0, m_peer_requests + own);
  return std::max(0.0, m_peer_requests - ends * peer_fraction);
}

}  // namespace sorrelplank
