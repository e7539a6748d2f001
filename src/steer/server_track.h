/// @file server_track.h What this entry VM knows of one backend server.

#ifndef SORRELPLANK_STEER_SERVER_TRACK_H_
#define SORRELPLANK_STEER_SERVER_TRACK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/rate_window.h"
#include "steer/attempt_report_type.h"
#include "steer/others_estimate.h"
#include "steer/quantile_track.h"
#include "steer/server_entry_type.h"
#include "steer/server_load_type.h"
#include "steer/server_notices.h"
#include "steer/service_baseline_type.h"

namespace sorrelplank {

/// Load and health of a backend server, learned from requests alone: probes
/// cost the server work, and their answers may be wrong.
class ServerTrack {
 public:
  /// Work on an object for which a server is not warm, in usual latencies; by
  /// the deployments' measure of warm work.
  static constexpr double kNotWarmFactor = 3.3;

  /// The region by the number that Steering gave it.
  ServerTrack(ServerEntry entry, size_t region, TimePoint now);

  const ServerEntry& Entry() const { return m_entry; }
  size_t Region() const { return m_region; }
  /// Takes a newer entry of the same instance.
  void Update(ServerEntry entry, TimePoint now);

  void CountSend(TimePoint now);
  void CountEnd(const AttemptReport& report, TimePoint now);
  void CountCancel() { --m_own; }

  /// What its run asks of its callers.
  const ServerNotices& Notices() const { return m_notices; }
  /// The run was known before, and asked this.
  void RestoreNotices(const ServerNotices& notices) { m_notices = notices; }

  /// Takes a report of the server's load if it is the newest, also one that
  /// another entry VM received.
  void TakeReport(const ReportedLoad& load, Duration age, TimePoint now);
  /// The last report that came to this VM since it was asked before.
  std::optional<ServerLoad> TakeUntoldLoad(TimePoint now);

  /// Requests under way: our own, and those of others by its last report.
  double Occupancy(TimePoint now) const;
  /// Requests under way and waiting at the server by its own reports, of all
  /// entry VMs; nothing where it has not reported lately.
  std::optional<double> RecentLoad(TimePoint now) const;
  /// Requests that it should have under way at the most.
  double OccupancyLimit(TimePoint now, const ServiceBaseline& usual) const;
  /// Whether it fails, or answers nothing at all, so that it should be given no
  /// requests now.
  bool IsResting(TimePoint now, const ServiceBaseline& usual) const;
  /// Another instance answers at its address: this one is gone.
  void MarkGone() { m_gone = true; }
  bool IsGone() const { return m_gone; }
  /// Whether it is much slower than usual, or rejects a large part.
  bool IsDegraded(const ServiceBaseline& usual) const;

  bool IsCold(TimePoint now) const { return now < m_cold_until; }
  /// From now on it counts as cold for at least the given time.
  void MarkCold(Duration time, TimePoint now);
  /// Counts one request under a limit on the rate if it allows it.
  bool TryTakeRate(uint32_t most_per_second, TimePoint now);
  /// Whether the limit on the rate allows a request.
  bool HasRateRoom(uint32_t most_per_second, TimePoint now);

  /// Whether a request that was given so long should have been answered, though
  /// the server is not warm for its object and others wait there.
  bool HadEnoughTime(Duration given, Duration usual, TimePoint now) const;

  uint32_t InFlight() const { return m_own; }
  /// Consecutive sends that failed.
  uint32_t FailuresInRow() const { return m_failures_in_row; }
  /// Whether this VM sent a request on the object here lately.
  bool IsWarmFor(uint64_t object, TimePoint now) const;
  void MarkWarmFor(uint64_t object, TimePoint now);

  /// Requests that wait here for a slot of this server.
  uint32_t Waiting() const { return m_waiting; }
  void AddWaiting() { ++m_waiting; }
  void RemoveWaiting() { --m_waiting; }

 private:
  /// The server rests once so many failures came in a row.
  void CountFailure(uint32_t failures_to_rest, TimePoint now);
  void CountRejection(const AttemptReport& report, TimePoint now);

  ServerEntry m_entry;
  size_t m_region;
  /// Reports from before are those of another run.
  TimePoint m_known_since;
  uint32_t m_own = 0;
  uint32_t m_waiting = 0;
  OthersEstimate m_others;
  TimePoint m_reported{};
  /// The last report to this VM, until it is told to others.
  std::optional<ReportedLoad> m_untold;
  TimePoint m_untold_at{};
  /// Moving average of the reports.
  double m_load = 0;
  QuantileTrack m_latency{0.5};
  /// Moving averages in 0..1.
  double m_failures = 0;
  double m_rejections = 0;
  uint32_t m_failures_in_row = 0;
  TimePoint m_rests_until{};
  TimePoint m_full_until{};
  TimePoint m_cold_until{};
  TimePoint m_last_end{};
  bool m_gone = false;
  ServerNotices m_notices;
  RateWindow m_limited_sends;
  std::unordered_map<uint64_t, TimePoint> m_objects;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_TRACK_H_
