/// @file limit_simulation.h Simulation of backend servers that limit their
/// request rate, and of many entry VMs.

#ifndef SORRELPLANK_TRIAL_LIMIT_SIMULATION_H_
#define SORRELPLANK_TRIAL_LIMIT_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "proxy/quota_exchange.h"
#include "steer/steering.h"
#include "trial/event_queue.h"

namespace sorrelplank::trial {

struct LimitSimulationOptions {
  size_t m_vms = 12;
  size_t m_servers = 14;
  uint64_t m_seed = 1;
  /// Request rate of all clients together.
  double m_per_second = 117;
  /// Share of datagrams that are lost.
  double m_loss = 0;
};

/// Requests that one server received while it announced a limit.
struct LimitResult {
  /// Highest number of requests in any time window / the bound. Counts only
  /// requests from VMs that had received the limit.
  double m_max_window_ratio = 0;
  /// When that window ended, in seconds since the start of the run.
  double m_max_window_end = 0;
  /// Requests from all VMs / the number that the limits allowed.
  double m_used_share = 0;
};

/// Outcomes of the clients' requests.
struct LimitSimulationCounts {
  size_t m_arrived = 0;
  size_t m_answered = 0;
  size_t m_refused = 0;
  size_t m_failed = 0;
  /// Sum of the latencies of all answered requests.
  Duration m_total_latency{};
};

/// Each entry VM runs the real decision code; clients, network and servers are
/// simulated.
class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitSimulationOptions& options);
  ~LimitSimulation();

  // Schedule changes and faults, at a time since the start of the run.

  /// From then on the server announces the limit in each response; a negative
  /// rate removes the limit.
  void SetLimit(size_t server, Duration at, double per_second);
  /// The server restarts with the same id and announces no limit.
  void RestartServer(size_t server, Duration at);
  /// The server's entry expires from the store for one second.
  void LapseEntry(size_t server, Duration at);
  void Kill(size_t vm, Duration at, Duration down);
  /// These VMs neither exchange datagrams nor get updates from the store.
  void Partition(const std::vector<size_t>& vms, Duration from, Duration until);

  void Run(Duration length);

  LimitResult ResultOf(size_t server) const;
  const LimitSimulationCounts& Counts() const { return m_counts; }
  /// Sent datagrams per second and VM.
  double MessagesPerSecond() const;

 private:
  struct Vm;
  struct Server;

  ServerEntry EntryOf(size_t server) const;
  void StartVm(size_t vm);
  void InstallServers(size_t vm);
  void UpdateFleet(size_t vm);
  void ScheduleFleetUpdates(Duration delay);
  void ForEachReachableVm(const std::function<void(Steering&)>& apply);
  void HandleAction(size_t vm, const SteerAction& action);
  void Send(size_t vm, const SendToServer& action);
  void ArriveAtServer(size_t vm, size_t server, const SendToServer& action);
  void SendResponse(size_t vm, size_t server, const SendToServer& action);
  void CountRequest(size_t vm, Server& server);
  void SendDatagram(size_t from, size_t to, const QuotaMessage& message);
  void Deliver(size_t from, size_t to, const QuotaMessage& message);
  bool IsReachable(size_t from, size_t to) const;
  void ScheduleNextRequest();
  void InjectRequest();
  void Tick();

  LimitSimulationOptions m_options;
  std::mt19937_64 m_random;
  EventQueue m_queue;
  TimePoint m_start_time;
  Duration m_length{};
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::vector<std::unique_ptr<Server>> m_servers;
  LimitSimulationCounts m_counts;
  uint64_t m_next_request = 1;
  uint64_t m_messages = 0;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_LIMIT_SIMULATION_H_
