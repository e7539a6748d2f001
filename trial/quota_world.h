/// @file quota_world.h Quotas of organisations over many entry VMs, in virtual
/// time.

#ifndef SORRELPLANK_TRIAL_QUOTA_WORLD_H_
#define SORRELPLANK_TRIAL_QUOTA_WORLD_H_

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

/// How a limit is held over all VMs.
enum class QuotaWay : uint8_t {
  kEqualParts,       ///< Each VM has an equal part, and nobody is asked.
  kOneKeeper,        ///< One keeper for each organisation.
  kKeeperOfARegion,  ///< One keeper a region: what the product does.
};

struct QuotaWorldOptions {
  QuotaWay m_way = QuotaWay::kKeeperOfARegion;
  size_t m_vms = 12;
  uint64_t m_seed = 1;
  /// Part of datagrams that are lost.
  double m_loss = 0;
  /// VMs that the requests of one organisation come to; 0: all.
  size_t m_vms_of_clients = 0;
};

/// What became of one organisation.
struct QuotaResult {
  size_t m_asked = 0;
  size_t m_sent = 0;
  /// What a single bucket that sees all requests would have let pass.
  size_t m_owed = 0;
  /// Most that any window held, as a part of the bound.
  double m_worst_window = 0;

  /// Part of what was owed that was refused.
  double Shortfall() const;
};

/// Real decisions of each VM; clients, links and servers are simulated.
class QuotaWorld {
 public:
  explicit QuotaWorld(const QuotaWorldOptions& options);
  ~QuotaWorld();

  /// An organisation whose requests come at so many a second.
  void AddOrganisation(const Organisation& organisation, double per_second);

  // Faults and changes, each at a moment of the run.
  void SetDemand(const std::string& name, Duration at, double per_second);
  void SetLimit(const std::string& name,
                Duration at,
                double rate,
                double burst);
  void Kill(size_t vm, Duration at, Duration down);
  void KillAll(Duration at, Duration down);
  /// Neither datagrams nor the store's news reach these VMs.
  void Cut(const std::vector<size_t>& vms, Duration from, Duration until);

  void Run(Duration length);

  QuotaResult ResultOf(const std::string& name) const;
  /// A second and VM, sent only.
  double MessagesPerSecond() const;
  double BytesPerSecond() const;

 private:
  struct Vm;
  struct Client;
  struct Bound;

  void Start(size_t vm);
  void Install(size_t vm);
  /// Once all VMs have the newest configuration, lower limits bind.
  void BindNewestBounds();
  void TellFleet(size_t vm);
  void TellReplaced(size_t vm, bool may_be);
  /// All VMs hear of the fleet as it is, some of them later.
  void FleetChanged(Duration delay);
  void Take(size_t vm, const SteerAction& action);
  void Carry(size_t from, size_t to, const QuotaMessage& message);
  void Deliver(size_t from, size_t to, const QuotaMessage& message);
  bool IsLinked(size_t from, size_t to) const;
  void ArriveNext(const std::string& name);
  void Arrive(Client& client);
  bool PassesEqualPart(size_t vm, const Client& client);
  void Tick();

  QuotaWorldOptions m_options;
  std::mt19937_64 m_random;
  EventQueue m_queue;
  TimePoint m_began;
  Duration m_length{};
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::map<std::string, std::unique_ptr<Client>> m_clients;
  uint64_t m_version = 1;
  uint64_t m_next_request = 1;
  uint64_t m_messages = 0;
  uint64_t m_bytes = 0;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_QUOTA_WORLD_H_
