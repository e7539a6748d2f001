/// @file return_schedule.cc Return times at the pace of a server's queue.

#include "steer/return_schedule.h"

#include <algorithm>

#include "steer/admission.h"

namespace sorrelplank {

namespace {

/// Steps into which a slot's time is divided; a power of two keeps the seeds of
/// successive requests apart.
constexpr uint64_t kStepsPerSlot = 32;
/// Latest start of a series of return times. Longer waits would all be cut to
/// the longest retry time, and their callers would return together.
constexpr Duration kLastStart = kMaxRetryAfter * 3 / 4;

}  // namespace

Duration ReturnSchedule::Next(const QueueState& queue,
                              Duration in_time,
                              uint64_t seed,
                              TimePoint now) {
  const Duration slot = DrainTime(queue, 1);
  const TimePoint latest = now + kMaxRetryAfter;
  const auto spread = [&](TimePoint at) {
    const Duration room = std::min<Duration>(slot, latest - at);
    return at - now + room * (seed % kStepsPerSlot) / kStepsPerSlot;
  };
  const TimePoint first =
      now + std::clamp(ExpectedWait(queue), kMinRetryAfter, kLastStart);
  // Less one slot's time, within which the caller is placed.
  const TimePoint late =
      std::max(first, now + std::min(in_time - slot, kLastStart));
  // A returning request that can meet its target goes ahead of the queue.
  const TimePoint next = std::max(now + kMinRetryAfter, m_last_in_time + slot);
  if (next + slot < now + std::min(in_time, kMaxRetryAfter)) {
    m_last_in_time = next;
    return spread(next);
  }
  m_last_late = std::max(late, m_last_late + slot);
  if (m_last_late > latest) {
    // More callers than slots until the latest allowed time. Starting over
    // spreads them evenly; at the limit they would return together.
    m_last_late = late;
  }
  return spread(m_last_late);
}

}  // namespace sorrelplank
