/// @file simulation.h Simulated environment that the product and the baselines
/// share.

#ifndef SORRELPLANK_TRIAL_SIMULATION_H_
#define SORRELPLANK_TRIAL_SIMULATION_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config_file_type.h"
#include "core/snapshot_type.h"
#include "trial/event_queue.h"
#include "trial/run_type.h"

namespace sorrelplank::trial {

/// A simulated backend server. The runs simulate its run times, load shedding
/// and deadlines.
struct FakeBackend {
  BackendId m_id;
  ServiceId m_service;
  PlaceId m_place;
  uint32_t m_slots = 0;
  uint32_t m_in_flight = 0;
  /// Requests in flight as last reported: at most one second old, except with
  /// the fault that freezes reports.
  uint32_t m_reported_in_flight = 0;
  bool m_has_false_reports = false;
  bool m_down = false;
};

/// A request that arrives from a caller.
struct Arrival {
  uint64_t m_number = 0;
  ServiceId m_service;
  PlaceId m_home;
  uint32_t m_client_ip = 0;
};

/// Backend servers, arriving requests, latencies and measurements of one
/// deployment.
class Simulation {
 public:
  explicit Simulation(const RunOptions& options);

  /// Passes requests with Poisson arrivals to the sink, until as many were sent
  /// as the options say.
  void StartArrivals(std::function<void(const Arrival&)> sink);
  /// Starts to sample the headroom and to update the reported loads.
  void StartSampling();

  /// One-way latency between two places.
  Duration Latency(PlaceId a, PlaceId b) const;
  Duration ClientLatency() const;
  Duration RunTime(ServiceId service);

  void CountResponse(ServiceId service, TimePoint sent);
  void Fail(const std::string& violation);

  /// Parses the deployment's files, with one more file if the overlay isn't
  /// empty. Throws std::runtime_error if they are invalid.
  std::shared_ptr<const Snapshot> Parse(uint64_t version,
                                        const std::string& overlay) const;

  EventQueue m_queue;
  std::mt19937_64 m_random;
  RunOptions m_options;
  std::shared_ptr<const Snapshot> m_config;
  std::vector<FakeBackend> m_backends;
  RunResult m_result;
  bool m_arrivals_over = false;

 private:
  void ScheduleArrival(ServiceId service);
  void Sample();
  PlaceId PickHome();

  ConfigFiles m_files;
  std::vector<double> m_rates;
  std::function<void(const Arrival&)> m_sink;
  TimePoint m_started;
  uint64_t m_next_number = 1;
  std::vector<double> m_busy_sums;
  int m_samples = 0;
  std::vector<std::vector<uint32_t>> m_clients;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_SIMULATION_H_
