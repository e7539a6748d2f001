/// @file product_run.h Simulation of the product's decision core.

#ifndef SORRELPLANK_TRIAL_PRODUCT_RUN_H_
#define SORRELPLANK_TRIAL_PRODUCT_RUN_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/node.h"
#include "core/rate_window.h"
#include "trial/simulation.h"

namespace sorrelplank::trial {

/// A simulated entry VM.
struct FakeVm {
  std::string m_name;
  PlaceId m_place;
  VmAddress m_address;
  std::unique_ptr<Node> m_node;
  /// Number of the VM's current process; events for an earlier one are dropped.
  uint64_t m_generation = 0;
  bool m_up = false;
  TimePoint m_paused_until{};
};

/// A caller's request until its final response.
struct CallerJob {
  Arrival m_arrival;
  TimePoint m_sent;
  std::vector<LookupVm> m_vms;
  size_t m_next_vm = 0;
  TriedList m_tried;
  int m_send_count = 0;
  /// Number of the current send; responses to earlier ones are ignored.
  int m_current = 0;
  bool m_is_over = false;
};
using JobPtr = std::shared_ptr<CallerJob>;

/// Where a request inside one entry VM came from.
struct Origin {
  JobPtr m_job;                    ///< The caller's request, also if handed on.
  int m_send = 0;                  ///< Number of the caller's send.
  size_t m_from_vm = 0;            ///< If handed on: the sending VM,
  uint64_t m_from_generation = 0;  ///< its process number,
  AttemptId m_attempt;             ///< and its attempt.
  bool m_handed_on = false;
  bool m_is_late = false;  ///< Delayed in transit by a fault.
};

/// A request that runs on a backend server.
struct Running {
  size_t m_vm = 0;
  uint64_t m_generation = 0;
  AttemptId m_attempt;
  size_t m_backend = 0;
  bool m_is_over = false;
};
using RunningPtr = std::shared_ptr<Running>;

/// Runs the Nodes of one deployment under load and faults, and checks from
/// outside that the guarantees of "What must always hold" are kept.
class ProductRun {
 public:
  explicit ProductRun(const RunOptions& options);
  RunResult Run();

 private:
  // product_run.cc: nodes, messages, backend servers.
  void Boot(size_t vm);
  void Kill(size_t vm);
  void Feed(size_t vm, const Event& event);
  void Deliver(size_t vm, uint64_t generation, Duration delay, Event event);
  void Tick(size_t vm, uint64_t generation);
  void Execute(size_t vm, const DispatchToBackend& action);
  void Execute(size_t vm, const HandOnToVm& action);
  void Execute(size_t vm, const CancelAttempt& action);
  void Execute(size_t vm, const ForwardAnswer& action);
  void Execute(size_t vm, const ReplayAnswer& action);
  void Execute(size_t vm, const ReplayPeerAnswer& action);
  void Execute(size_t vm, const RefuseCall& action);
  void Execute(size_t vm, const QueryKeyState& action);
  void Execute(size_t vm, const SendGossip& action);
  void Execute(size_t vm, const SendSlotNotice& action);
  void Execute(size_t vm, const FetchConfig& action);
  void Execute(size_t vm, const RecordEvent& action);
  void Execute(size_t vm, const ExitProcess& action);
  void StartRun(const RunningPtr& running,
                const Origin& origin,
                Duration time_left);
  void EndRun(const RunningPtr& running, AttemptOutcome outcome);
  void CheckShiftCap(PlaceId place, const Origin& origin);
  bool IsPartitioned(size_t a, size_t b) const;
  bool IsUp(size_t vm, uint64_t generation) const;
  size_t VmAt(VmAddress address) const;

  // product_callers.cc: callers and faults.
  void Begin(const Arrival& arrival);
  void Send(const JobPtr& job);
  void HandleLostSend(const JobPtr& job, int send);
  void DeliverResponse(const JobPtr& job,
                       int send,
                       Verdict verdict,
                       const std::string& reason,
                       uint64_t response_to);
  void ScheduleFaults();
  void InjectFaults();
  void PublishSnapshot(const std::string& overlay);
  void Trace(const std::string& line);
  void AppendHistory(const Arrival& arrival, const std::string& line);
  void FailWithHistory(const Arrival& arrival, const std::string& violation);
  std::string TimePrefix() const;

  Simulation m_simulation;
  std::vector<FakeVm> m_vms;
  std::map<std::pair<size_t, RequestId>, Origin> m_origins;
  std::map<std::pair<size_t, AttemptId>, RunningPtr> m_running;
  std::map<std::pair<size_t, AttemptId>, std::pair<size_t, RequestId>>
      m_hand_on_targets;
  uint64_t m_next_request = 1;
  /// How often each request ran, by request number.
  std::unordered_map<uint64_t, int> m_runs;
  std::unordered_map<uint32_t, std::pair<TimePoint, std::vector<LookupVm>>>
      m_lookups;
  std::vector<RateWindow> m_shifted;
  std::set<std::pair<size_t, size_t>> m_partitions;
  std::map<size_t, TimePoint> m_leaving;
  std::shared_ptr<const Snapshot> m_current;
  uint64_t m_version = 1;
  std::deque<std::string> m_trace;
  /// Events of each non-idempotent request, by request number.
  std::unordered_map<uint64_t, std::vector<std::string>> m_histories;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_PRODUCT_RUN_H_
