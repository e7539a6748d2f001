/// @file others_estimate.cc Emptying of a queue between reports.

#include "steer/others_estimate.h"

#include <algorithm>

#include "steer/part_in_slot_func.h"

namespace sorrelplank {

namespace {

/// Least time that a slot is taken for a request, in milliseconds; also before
/// the first answer. Shorter than any deployment's usual work, so that a server
/// of which nothing is known seems free again soon.
constexpr double kLeastWork = 30;
/// How much faster than its slots allow a queue is taken to empty. A slot that
/// idles because a queue is thought to be longer than it is costs more than a
/// request too many in the queue. Worth of the answers to their callers, of the
/// most possible, over five days with six seeds each: 0.570 with 1.5, 0.581
/// with 2.5, 0.573 with 4.
constexpr double kHaste = 2.5;

}  // namespace

void OthersEstimate::Take(double others, TimePoint as_of) {
  m_others = others;
  m_as_of = as_of;
}

void OthersEstimate::AddAnswer(const AttemptReport& report, uint32_t slots) {
  m_work.Add(std::chrono::duration_cast<Duration>(report.m_latency *
                                                  PartInSlot(report, slots)));
}

double OthersEstimate::At(TimePoint now, double own, uint32_t slots) const {
  const double work = std::max(kLeastWork, ToMilliseconds(m_work.Get()));
  const double ends = kHaste * slots * ToMilliseconds(now - m_as_of) / work;
  const double part_of_others = m_others / std::max(1.0, m_others + own);
  return std::max(0.0, m_others - ends * part_of_others);
}

}  // namespace sorrelplank
