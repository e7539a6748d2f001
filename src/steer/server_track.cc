/// @file server_track.cc Learning from the ends of requests.

#include "steer/server_track.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

namespace {

/// Weight of the newest sample in moving averages; five samples to notice.
constexpr double kSampleWeight = 0.2;
/// Mean loads are for slow decisions; they are kept over some requests of a VM
/// that sends to the server once a second.
constexpr Duration kLoadLife = seconds(3);
/// Consecutive failures after which a server rests. One lost answer may be
/// chance; a connection that is not even opened says that nobody listens.
constexpr uint32_t kFailuresToRest = 2;
constexpr uint32_t kUnsentToRest = 1;
/// First rest; it doubles with each further failure up to the longest.
constexpr Duration kFirstRest = milliseconds(400);
constexpr Duration kLongestRest = seconds(4);
/// After a rejection the server is taken as full for about the time in which
/// one of its slots comes free.
constexpr Duration kFullPause = milliseconds(60);
/// Slower than usual by this factor: degraded. Objects that are not warm
/// alone take 3.3 times as long.
constexpr double kSlowFactor = 5;
/// Part of sends rejected or failed from which on a server is degraded.
constexpr double kBadPart = 0.3;
/// No answer at all for this long, and for this many usual latencies, while
/// requests are under way: stalled.
constexpr Duration kStalled = milliseconds(1500);
constexpr int kStalledFactor = 6;
/// A server is taken as warm for an object for this long after a request.
/// Servers forget by number of objects, which nobody tells us; the time is that
/// in which a busy server meets more objects than it remembers.
constexpr Duration kWarmTime = seconds(15);
/// Objects remembered for one server; 16 KB of memory.
constexpr size_t kMostObjects = 512;
/// Requests that a server may have beyond its slots. A slot that comes free is
/// then taken at once, instead of after the answer's way back and the next
/// request's way there. Worth of the answers to their callers, of the most
/// possible, over five days with six seeds each: 0.580 with none, 0.592 and
/// 0.602 with one (two runs), 0.591 with two, 0.577 with three, which wait
/// longer at a server that another one could have relieved.
constexpr double kAtHand = 1;
/// A cold server's own time is uncertain by the age of its entry.
constexpr Duration kColdMargin = milliseconds(500);

void Blend(double& average, double sample) {
  average += (sample - average) * kSampleWeight;
}

}  // namespace

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kServerError:
      return "server_error";
    case AttemptEnd::kOutOfTime:
      return "out_of_time";
    case AttemptEnd::kRejected:
      return "rejected";
    case AttemptEnd::kWrongInstance:
      return "wrong_instance";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kLost:
      return "lost";
  }
  return "";
}

ServerTrack::ServerTrack(ServerEntry entry, size_t region, TimePoint now)
    : m_entry(std::move(entry)), m_region(region), m_known_since(now) {
  MarkCold(m_entry.m_cold_left, now);
}

void ServerTrack::Update(ServerEntry entry, TimePoint now) {
  if (!entry.m_started) {
    entry.m_started = m_entry.m_started;
  }
  m_entry = std::move(entry);
  MarkCold(m_entry.m_cold_left, now);
}

void ServerTrack::MarkCold(Duration time, TimePoint now) {
  if (time > Duration::zero()) {
    m_cold_until = std::max(m_cold_until, now + time + kColdMargin);
  }
}

void ServerTrack::CountSend(TimePoint now) {
  if (m_own == 0) {
    m_last_end = now;
  }
  ++m_own;
}

void ServerTrack::CountEnd(const AttemptReport& report, TimePoint now) {
  --m_own;
  m_last_end = now;
  if (report.m_load) {
    TakeReport(*report.m_load, Duration::zero(), now);
    m_untold = report.m_load;
    m_untold_at = now;
  }
  if (report.m_notice) {
    m_notices.Take(*report.m_notice, report.m_end == AttemptEnd::kAnswered,
                   now);
  }
  if (report.m_end == AttemptEnd::kRejected) {
    CountRejection(report, now);
    return;
  }
  Blend(m_rejections, 0);
  if (report.m_end == AttemptEnd::kOutOfTime) {
    // It says nothing of the server. Taken for failures, two of them made it
    // rest under overload, and its objects went to servers that were not warm
    // for them; these fell behind in turn.
    return;
  }
  if (report.m_end != AttemptEnd::kAnswered) {
    const bool is_unsent = report.m_end == AttemptEnd::kNotSent;
    CountFailure(is_unsent ? kUnsentToRest : kFailuresToRest, now);
    return;
  }
  m_failures_in_row = 0;
  Blend(m_failures, 0);
  m_latency.Add(report.m_latency);
  m_others.AddAnswer(report, m_entry.m_slots);
}

bool ServerTrack::HadEnoughTime(Duration given,
                                Duration usual,
                                TimePoint now) const {
  const double queue = std::max(1.0, Occupancy(now) / m_entry.m_slots);
  return ToMilliseconds(given) >=
         kNotWarmFactor * queue * ToMilliseconds(usual);
}

void ServerTrack::TakeReport(const ReportedLoad& load,
                             Duration age,
                             TimePoint now) {
  if (now - age < std::max(m_reported, m_known_since)) {
    return;
  }
  const double total = load.m_running + load.m_waiting;
  m_others.Take(std::max(0.0, total - m_own), now - age);
  const bool is_stale = now - m_reported >= kLoadLife;
  m_load = is_stale ? total : m_load + (total - m_load) * kSampleWeight;
  m_reported = now - age;
}

std::optional<ServerLoad> ServerTrack::TakeUntoldLoad(TimePoint now) {
  if (!m_untold) {
    return std::nullopt;
  }
  const ServerLoad told{HashName(m_entry.m_instance), *m_untold,
                        now - m_untold_at};
  m_untold.reset();
  return told;
}

void ServerTrack::CountRejection(const AttemptReport& report, TimePoint now) {
  const bool has_free_slot =
      report.m_load && report.m_load->m_running < report.m_load->m_slots;
  if (!has_free_slot) {
    m_full_until = now + kFullPause;
    return;
  }
  // Not for want of slots: a part of its sends, whatever its load. Pausing
  // would leave its slots idle.
  Blend(m_rejections, 1);
}

void ServerTrack::CountFailure(uint32_t failures_to_rest, TimePoint now) {
  Blend(m_failures, 1);
  ++m_failures_in_row;
  if (m_failures_in_row < failures_to_rest) {
    return;
  }
  const uint32_t doublings = std::min(m_failures_in_row - failures_to_rest, 4U);
  m_rests_until = now + std::min(kFirstRest * (1U << doublings), kLongestRest);
}

double ServerTrack::Occupancy(TimePoint now) const {
  return m_own + m_others.At(now, m_own, m_entry.m_slots);
}

std::optional<double> ServerTrack::RecentLoad(TimePoint now) const {
  if (now - m_reported >= kLoadLife) {
    return std::nullopt;
  }
  return m_load;
}

double ServerTrack::OccupancyLimit(TimePoint now,
                                   const ServiceBaseline& usual) const {
  if (now < m_full_until) {
    return 0;
  }
  if (IsDegraded(usual)) {
    return std::max(1.0, m_entry.m_slots / 4.0);
  }
  return m_entry.m_slots + kAtHand;
}

bool ServerTrack::IsResting(TimePoint now, const ServiceBaseline& usual) const {
  if (now < m_rests_until) {
    return true;
  }
  // A server that lost power answers nothing and resets nothing: without this
  // it would be sent requests until the first of them reach their deadline.
  return m_own > 0 && now - m_last_end >
                          std::max(kStalled, kStalledFactor * usual.m_latency);
}

bool ServerTrack::IsDegraded(const ServiceBaseline& usual) const {
  if (m_rejections > kBadPart + 2 * usual.m_rejections ||
      m_failures > kBadPart) {
    return true;
  }
  return usual.m_latency > Duration::zero() &&
         ToMilliseconds(m_latency.Get()) >
             kSlowFactor * ToMilliseconds(usual.m_latency);
}

bool ServerTrack::IsWarmFor(uint64_t object, TimePoint now) const {
  const auto it = m_objects.find(object);
  return it != m_objects.end() && now - it->second < kWarmTime;
}

void ServerTrack::MarkWarmFor(uint64_t object, TimePoint now) {
  if (m_objects.size() >= kMostObjects) {
    std::erase_if(m_objects, [now](const auto& entry) {
      return now - entry.second >= kWarmTime / 4;
    });
  }
  m_objects[object] = now;
}

bool ServerTrack::TryTakeRate(uint32_t most_per_second, TimePoint now) {
  return m_limited_sends.TryTake(most_per_second, now);
}

bool ServerTrack::HasRateRoom(uint32_t most_per_second, TimePoint now) {
  return m_limited_sends.Count(now) < most_per_second;
}

}  // namespace sorrelplank
