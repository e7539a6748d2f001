/// @file server_state.cc Load and health of a server from the outcomes of
/// requests.

#include "steer/server_state.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

namespace {

/// Weight of the newest sample in moving averages; a change shows within five
/// samples.
constexpr double kSampleWeight = 0.2;
/// Age after which the mean load is no longer used. Mean loads serve slow
/// decisions, so they are kept for several requests of a VM that sends to the
/// server once a second.
constexpr Duration kLoadMaxAge = seconds(3);
/// Consecutive failures after which a server is ejected. One lost response may
/// be chance; a connection that cannot be opened means that nothing listens
/// there.
constexpr uint32_t kFailuresToEject = 2;
constexpr uint32_t kUnsentToEject = 1;
/// Duration of the first ejection; doubles with each further failure up to the
/// maximum.
constexpr Duration kFirstEjection = milliseconds(400);
constexpr Duration kMaxEjection = seconds(4);
/// After a rejection the server counts as full for about the time until one of
/// its slots becomes free.
constexpr Duration kFullBackoff = milliseconds(60);
/// A server that is slower than usual by this factor is degraded. Cache misses
/// alone take 3.3 times as long.
constexpr double kDegradedLatencyFactor = 5;
/// A server with a larger fraction of rejected or failed attempts is degraded.
constexpr double kDegradedFraction = 0.3;
/// A server with requests in flight is stalled when it has not answered for
/// this long and for this many usual latencies.
constexpr Duration kStallTimeout = milliseconds(1500);
constexpr int kStallLatencyFactor = 6;
/// Time after a request for which a server is assumed to have the object
/// cached. Servers evict by number of objects, which they do not report; within
/// this time a busy server handles more objects than its cache holds.
constexpr Duration kWarmTime = seconds(15);
/// Objects remembered for one server; 16 KB of memory.
constexpr size_t kMaxObjects = 512;
/// Requests that a server may have in flight beyond its slots. A slot that
/// becomes free is then reused at once instead of after a round trip. Value of
/// the responses to their callers, relative to the maximum, over five days with
/// six seeds each: 0.580 with none, 0.592 and 0.602 with one (two runs), 0.591
/// with two, and 0.577 with three, since those wait longer at a server when
/// another one could take them.
constexpr double kExtraInFlight = 1;
/// Margin for the age of the entry, by which the remaining cold time is
/// uncertain.
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
    case AttemptEnd::kDeadlineExceeded:
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

ServerState::ServerState(ServerEntry entry, size_t region, TimePoint now)
    : m_entry(std::move(entry)), m_region(region), m_known_since(now) {
  MarkCold(m_entry.m_cold_left, now);
}

void ServerState::Update(ServerEntry entry, TimePoint now) {
  if (!entry.m_started) {
    entry.m_started = m_entry.m_started;
  }
  m_entry = std::move(entry);
  MarkCold(m_entry.m_cold_left, now);
}

void ServerState::MarkCold(Duration time, TimePoint now) {
  if (time > Duration::zero()) {
    m_cold_until = std::max(m_cold_until, now + time + kColdMargin);
  }
}

void ServerState::CountSend(TimePoint now) {
  if (m_own_in_flight == 0) {
    m_last_end = now;
  }
  ++m_own_in_flight;
}

void ServerState::CountEnd(const AttemptReport& report, TimePoint now) {
  --m_own_in_flight;
  m_last_end = now;
  if (report.m_load) {
    ApplyLoadReport(*report.m_load, Duration::zero(), now);
    m_unshared_report = report.m_load;
    m_unshared_report_at = now;
  }
  if (report.m_notice) {
    m_notices.Apply(*report.m_notice, report.m_end == AttemptEnd::kAnswered,
                    now);
  }
  if (report.m_end == AttemptEnd::kRejected) {
    CountRejection(report, now);
    return;
  }
  Blend(m_rejections, 0);
  if (report.m_end == AttemptEnd::kDeadlineExceeded) {
    // The timeout says nothing about the server's health. Counting it as a
    // failure ejected a server after two timeouts under overload; its objects
    // moved to servers that did not have them cached, which fell behind in
    // turn.
    return;
  }
  if (report.m_end != AttemptEnd::kAnswered) {
    const bool is_unsent = report.m_end == AttemptEnd::kNotSent;
    CountFailure(is_unsent ? kUnsentToEject : kFailuresToEject, now);
    return;
  }
  m_failures_in_row = 0;
  Blend(m_failures, 0);
  m_latency.Add(report.m_latency);
  m_peer_load.AddAnswer(report, m_entry.m_slots);
}

bool ServerState::HadEnoughTime(Duration given,
                                const ServiceBaseline& usual,
                                TimePoint now) const {
  const double queue = std::max(1.0, Occupancy(now, usual) / m_entry.m_slots);
  return ToMilliseconds(given) >=
         kCacheMissFactor * queue * ToMilliseconds(usual.m_latency);
}

void ServerState::ApplyLoadReport(const ReportedLoad& load,
                                  Duration age,
                                  TimePoint now) {
  if (now - age < std::max(m_reported_at, m_known_since)) {
    return;
  }
  m_machine_speed.SetReported(load.m_work_percent, now - age);
  const double total = load.m_running + load.m_waiting;
  m_peer_load.SetReported(std::max(0.0, total - m_own_in_flight), now - age);
  const bool is_stale = now - m_reported_at >= kLoadMaxAge;
  m_load = is_stale ? total : m_load + (total - m_load) * kSampleWeight;
  m_reported_at = now - age;
}

std::optional<ServerLoad> ServerState::TakeUnsharedLoad(TimePoint now) {
  if (!m_unshared_report) {
    return std::nullopt;
  }
  const ServerLoad shared{HashName(m_entry.m_instance), *m_unshared_report,
                          now - m_unshared_report_at};
  m_unshared_report.reset();
  return shared;
}

void ServerState::CountRejection(const AttemptReport& report, TimePoint now) {
  const bool has_free_slot =
      report.m_load && report.m_load->m_running < report.m_load->m_slots;
  if (!has_free_slot) {
    m_full_until = now + kFullBackoff;
    return;
  }
  // The server rejects although it has free slots: a fraction of its requests,
  // independent of load. Treating it as full would leave its slots idle.
  Blend(m_rejections, 1);
}

void ServerState::CountFailure(uint32_t failures_to_eject, TimePoint now) {
  Blend(m_failures, 1);
  ++m_failures_in_row;
  if (m_failures_in_row < failures_to_eject) {
    return;
  }
  const uint32_t doublings =
      std::min(m_failures_in_row - failures_to_eject, 4U);
  m_ejected_until =
      now + std::min(kFirstEjection * (1U << doublings), kMaxEjection);
}

double ServerState::Occupancy(TimePoint now,
                              const ServiceBaseline& usual) const {
  return m_own_in_flight +
         m_peer_load.At(now, m_own_in_flight, m_entry.m_slots, usual);
}

std::optional<double> ServerState::RecentLoad(TimePoint now) const {
  if (now - m_reported_at >= kLoadMaxAge) {
    return std::nullopt;
  }
  return m_load;
}

double ServerState::OccupancyLimit(TimePoint now,
                                   const ServiceBaseline& usual) const {
  if (now < m_full_until) {
    return 0;
  }
  if (IsDegraded(usual)) {
    return std::max(1.0, m_entry.m_slots / 4.0);
  }
  return m_entry.m_slots + kExtraInFlight;
}

bool ServerState::IsEjected(TimePoint now, const ServiceBaseline& usual) const {
  if (now < m_ejected_until) {
    return true;
  }
  // A server that lost power neither answers nor resets connections: without
  // this check it would be sent requests until the first of them reach their
  // deadlines.
  return m_own_in_flight > 0 &&
         now - m_last_end >
             std::max(kStallTimeout, kStallLatencyFactor * usual.m_latency);
}

bool ServerState::IsDegraded(const ServiceBaseline& usual) const {
  if (m_rejections > kDegradedFraction + 2 * usual.m_rejections ||
      m_failures > kDegradedFraction) {
    return true;
  }
  return usual.m_latency > Duration::zero() &&
         ToMilliseconds(m_latency.Get()) >
             kDegradedLatencyFactor * ToMilliseconds(usual.m_latency);
}

bool ServerState::IsWarmFor(uint64_t object, TimePoint now) const {
  const auto it = m_objects.find(object);
  return it != m_objects.end() && now - it->second < kWarmTime;
}

void ServerState::MarkWarmFor(uint64_t object, TimePoint now) {
  if (m_objects.size() >= kMaxObjects) {
    std::erase_if(m_objects, [now](const auto& entry) {
      return now - entry.second >= kWarmTime / 4;
    });
  }
  m_objects[object] = now;
}

bool ServerState::TryTakeRate(uint32_t max_per_second, TimePoint now) {
  return m_sends.TryTake(max_per_second, now);
}

bool ServerState::HasRateRoom(uint32_t max_per_second, TimePoint now) {
  return m_sends.Count(now) < max_per_second;
}

}  // namespace sorrelplank
