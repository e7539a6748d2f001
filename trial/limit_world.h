/// @file limit_world.h Backend servers that limit their requests, and many
/// entry VMs, in virtual time.

#ifndef SORRELPLANK_TRIAL_LIMIT_WORLD_H_
#define SORRELPLANK_TRIAL_LIMIT_WORLD_H_

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

struct LimitWorldOptions {
  size_t m_vms = 12;
  size_t m_servers = 14;
  uint64_t m_seed = 1;
  /// Requests of all clients together.
  double m_per_second = 117;
  /// Part of datagrams that are lost.
  double m_loss = 0;
};

/// What one server got while it named a limit.
struct LimitResult {
  /// Most that any window held, as a part of the bound; counted are VMs that
  /// had been told.
  double m_worst_window = 0;
  /// When that window ended, in seconds of the run.
  double m_worst_at = 0;
  /// Requests from all VMs, as a part of what the limits allowed.
  double m_used = 0;
};

/// What clients saw.
struct LimitWorldCounts {
  size_t m_asked = 0;
  size_t m_answered = 0;
  size_t m_refused = 0;
  size_t m_failed = 0;
  /// Time until the answer, of all answered.
  Duration m_waited{};
};

/// Real decisions of each VM; clients, links and servers are simulated.
class LimitWorld {
 public:
  explicit LimitWorld(const LimitWorldOptions& options);
  ~LimitWorld();

  // Each at a moment of the run.
  /// The server names a limit in each answer from then on; less than zero:
  /// none.
  void SetLimit(size_t server, Duration at, double per_second);
  /// The server starts again under its id, and names no limit.
  void RestartServer(size_t server, Duration at);
  /// The server's entry lapses for a second.
  void LapseEntry(size_t server, Duration at);
  void Kill(size_t vm, Duration at, Duration down);
  /// Neither datagrams nor the store's news reach these VMs.
  void Cut(const std::vector<size_t>& vms, Duration from, Duration until);

  void Run(Duration length);

  LimitResult ResultOf(size_t server) const;
  const LimitWorldCounts& Counts() const { return m_counts; }
  /// A second and VM, sent only.
  double MessagesPerSecond() const;

 private:
  struct Vm;
  struct Server;

  ServerEntry EntryOf(size_t server) const;
  void StartVm(size_t vm);
  void TellServers(size_t vm);
  void TellFleet(size_t vm);
  void FleetChanged(Duration delay);
  void ForEachLinkedVm(const std::function<void(Steering&)>& tell);
  void Take(size_t vm, const SteerAction& action);
  void Send(size_t vm, const SendToServer& action);
  void Reach(size_t vm, size_t server, const SendToServer& action);
  void Answer(size_t vm, size_t server, const SendToServer& action);
  void Count(size_t vm, Server& server);
  void Carry(size_t from, size_t to, const QuotaMessage& message);
  void Deliver(size_t from, size_t to, const QuotaMessage& message);
  bool IsLinked(size_t from, size_t to) const;
  void ArriveNext();
  void Arrive();
  void Tick();

  LimitWorldOptions m_options;
  std::mt19937_64 m_random;
  EventQueue m_queue;
  TimePoint m_began;
  Duration m_length{};
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::vector<std::unique_ptr<Server>> m_servers;
  LimitWorldCounts m_counts;
  uint64_t m_next_request = 1;
  uint64_t m_messages = 0;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_LIMIT_WORLD_H_
