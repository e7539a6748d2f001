/// @file server_state.h State of one backend server as known to this entry VM.

#ifndef SORRELPLANK_STEER_SERVER_STATE_H_
#define SORRELPLANK_STEER_SERVER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/rate_window.h"
#include "steer/attempt_report_type.h"
#include "steer/machine_speed.h"
#include "steer/peer_load_estimate.h"
#include "steer/quantile_estimator.h"
#include "steer/return_schedule.h"
#include "steer/server_entry_type.h"
#include "steer/server_load_type.h"
#include "steer/server_notices.h"
#include "steer/service_baseline_type.h"

namespace sorrelplank {

/// Load and health of a backend server, learned only from requests: probes cost
/// the server work, and their results may be wrong.
class ServerState {
 public:
  /// Processing time of a request whose object the server does not have cached,
  /// in usual latencies; the deployments' measured ratio to work with a warm
  /// cache.
  static constexpr double kCacheMissFactor = 3.3;

  /// `region` is the region's number in Steering.
  ServerState(ServerEntry entry, size_t region, TimePoint now);

  const ServerEntry& Entry() const { return m_entry; }
  size_t Region() const { return m_region; }
  /// Applies a newer entry of the same run.
  void Update(ServerEntry entry, TimePoint now);

  void CountSend(TimePoint now);
  void CountEnd(const AttemptReport& report, TimePoint now);
  void CountCancel() { --m_own_in_flight; }

  /// What the server's run asks of its callers.
  const ServerNotices& Notices() const { return m_notices; }
  /// Restores the notices of a run that was already known.
  void RestoreNotices(const ServerNotices& notices) { m_notices = notices; }

  /// Applies a load report, received by this VM or by another one, unless a
  /// newer one is known.
  void ApplyLoadReport(const ReportedLoad& load, Duration age, TimePoint now);
  /// The last report received by this VM, unless this method has already
  /// returned it.
  std::optional<ServerLoad> TakeUnsharedLoad(TimePoint now);

  /// Requests in flight: those of this VM, and the estimate of the other VMs'.
  double Occupancy(TimePoint now, const ServiceBaseline& usual) const;
  /// Average number of requests running and waiting at the server, of all entry
  /// VMs, by its own reports; no value without a recent report.
  std::optional<double> RecentLoad(TimePoint now) const;
  /// Expected processing time on the server's machine in usual ones.
  double WorkFactor(TimePoint now) const { return m_machine_speed.Factor(now); }
  /// Maximum number of requests that it should have in flight.
  double OccupancyLimit(TimePoint now, const ServiceBaseline& usual) const;
  /// Whether it should get no requests now because it fails or has stopped
  /// answering.
  bool IsEjected(TimePoint now, const ServiceBaseline& usual) const;
  /// Another instance answers at its address: this one is gone.
  void MarkGone() { m_is_gone = true; }
  bool IsGone() const { return m_is_gone; }
  /// Whether it is much slower than usual, or rejects or fails a large fraction
  /// of requests.
  bool IsDegraded(const ServiceBaseline& usual) const;

  bool IsCold(TimePoint now) const { return now < m_cold_until; }
  /// Treats the server as cold for at least the given time from now.
  void MarkCold(Duration time, TimePoint now);
  /// Counts one request against a rate limit; false if the limit is reached.
  bool TryTakeRate(uint32_t max_per_second, TimePoint now);
  /// Whether the rate limit allows a request.
  bool HasRateRoom(uint32_t max_per_second, TimePoint now);

  /// Whether the time given to a request should have sufficed for an answer
  /// even without its object in the server's cache and with the server's
  /// current queue.
  bool HadEnoughTime(Duration given,
                     const ServiceBaseline& usual,
                     TimePoint now) const;

  uint32_t InFlight() const { return m_own_in_flight; }
  /// Number of consecutive failed attempts.
  uint32_t FailuresInRow() const { return m_failures_in_row; }
  /// Ends an ejection, since the failures were not the server's.
  void ForgetFailures() {
    m_failures_in_row = 0;
    m_ejected_until = TimePoint();
    m_failures = 0;
  }
  /// Whether the server probably has the object cached, since this VM recently
  /// sent it a request for the object.
  bool IsWarmFor(uint64_t object, TimePoint now) const;
  void MarkWarmFor(uint64_t object, TimePoint now);

  /// Requests queued at this VM for a slot of the server.
  uint32_t Waiting() const { return m_waiting; }
  void AddWaiting() { ++m_waiting; }
  void RemoveWaiting() { --m_waiting; }
  /// When the callers that this VM rejects for want of its slots return.
  ReturnSchedule& Returns() { return m_returns; }

 private:
  /// Ejects the server after the given number of consecutive failures.
  void CountFailure(uint32_t failures_to_eject, TimePoint now);
  void CountRejection(const AttemptReport& report, TimePoint now);

  ServerEntry m_entry;
  size_t m_region;
  /// Reports from before this time belong to an earlier run.
  TimePoint m_known_since;
  uint32_t m_own_in_flight = 0;
  uint32_t m_waiting = 0;
  ReturnSchedule m_returns;
  PeerLoadEstimate m_peer_load;
  MachineSpeed m_machine_speed;
  TimePoint m_reported_at{};
  /// The last report received by this VM, until it is shared with the others.
  std::optional<ReportedLoad> m_unshared_report;
  TimePoint m_unshared_report_at{};
  /// Moving average of the reported loads.
  double m_load = 0;
  QuantileEstimator m_latency{0.5};
  /// Moving averages in 0..1.
  double m_failures = 0;
  double m_rejections = 0;
  uint32_t m_failures_in_row = 0;
  TimePoint m_ejected_until{};
  TimePoint m_full_until{};
  TimePoint m_cold_until{};
  TimePoint m_last_end{};
  bool m_is_gone = false;
  ServerNotices m_notices;
  RateWindow m_sends;
  std::unordered_map<uint64_t, TimePoint> m_objects;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_STATE_H_
