/// @file quota_simulation.h Simulation of the organisations' quotas over many
/// entry VMs.

#ifndef SORRELPLANK_TRIAL_QUOTA_SIMULATION_H_
#define SORRELPLANK_TRIAL_QUOTA_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "proxy/quota_exchange.h"
#include "steer/organisation_type.h"
#include "steer/steering.h"
#include "steer/token_bucket.h"
#include "trial/event_queue.h"

namespace sorrelplank::trial {

/// How a quota is enforced over all VMs together.
enum class QuotaScheme : uint8_t {
  kEqualShares,      ///< Each VM has an equal share; no messages.
  kOneKeeper,        ///< One keeper per organisation.
  kKeeperPerRegion,  ///< One keeper per region, as the product.
};

struct QuotaSimulationOptions {
  QuotaScheme m_scheme = QuotaScheme::kKeeperPerRegion;
  size_t m_vms = 12;
  uint64_t m_seed = 1;
  /// Share of datagrams that are lost.
  double m_loss = 0;
  /// Number of VMs that get the requests of one organisation; 0: all VMs.
  size_t m_client_vms = 0;
};

/// Outcomes of the requests of one organisation.
struct QuotaResult {
  size_t m_arrived = 0;
  size_t m_sent = 0;
  /// Requests that a single token bucket for all VMs would have let pass.
  size_t m_ideal_sent = 0;
  /// Highest number of requests in any time window / the bound.
  double m_max_window_ratio = 0;

  /// Share of the ideal number of requests that was not sent.
  double Shortfall() const;
};

/// Each entry VM runs the real decision code; clients, network and servers are
/// simulated.
class QuotaSimulation {
 public:
  explicit QuotaSimulation(const QuotaSimulationOptions& options);
  ~QuotaSimulation();

  /// Adds an organisation that sends requests at this rate.
  void AddOrganisation(const Organisation& organisation, double per_second);

  // Schedule changes and faults, at a time since the start of the run.
  void SetDemand(const std::string& name, Duration at, double per_second);
  void SetLimit(const std::string& name,
                Duration at,
                double rate,
                double burst);
  void Kill(size_t vm, Duration at, Duration down);
  void KillAll(Duration at, Duration down);
  /// These VMs neither exchange datagrams nor get updates from the store.
  void Partition(const std::vector<size_t>& vms, Duration from, Duration until);

  void Run(Duration length);

  QuotaResult ResultOf(const std::string& name) const;
  /// Sent datagrams and bytes per second and VM.
  double MessagesPerSecond() const;
  double BytesPerSecond() const;

 private:
  struct Vm;
  struct Client;
  struct Bound;

  void Start(size_t vm);
  void Install(size_t vm);
  /// Applies lowered limits once all VMs have the newest configuration.
  void ActivateNewestBounds();
  void UpdateFleet(size_t vm);
  void UpdateMayBeReplaced(size_t vm, bool may_be);
  /// Sends the current fleet to all VMs, to each with a random delay up to the
  /// given one.
  void ScheduleFleetUpdates(Duration delay);
  void HandleAction(size_t vm, const SteerAction& action);
  void SendDatagram(size_t from, size_t to, const QuotaMessage& message);
  void Deliver(size_t from, size_t to, const QuotaMessage& message);
  bool IsReachable(size_t from, size_t to) const;
  void ScheduleNextRequest(const std::string& name);
  void InjectRequest(Client& client);
  bool PassesEqualShare(size_t vm, const Client& client);
  void Tick();

  QuotaSimulationOptions m_options;
  std::mt19937_64 m_random;
  EventQueue m_queue;
  TimePoint m_start_time;
  Duration m_length{};
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::map<std::string, std::unique_ptr<Client>> m_clients;
  uint64_t m_version = 1;
  uint64_t m_next_request = 1;
  uint64_t m_messages = 0;
  uint64_t m_bytes = 0;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_QUOTA_SIMULATION_H_
