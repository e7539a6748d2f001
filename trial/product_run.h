/// @file product_run.h The product's decision core among fakes.

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
#include "trial/world.h"

namespace sorrelplank::trial {

/// One entry VM: its core, and whether it runs.
struct FakeVm {
  std::string m_name;
  PlaceId m_place;
  VmAddress m_address;
  std::unique_ptr<Node> m_node;
  /// Grows with each process; steps of an earlier one are dropped.
  uint64_t m_life = 0;
  bool m_up = false;
  TimePoint m_paused_until{};
};

/// A caller's request until its final answer.
struct CallerJob {
  Arrival m_arrival;
  TimePoint m_sent;
  std::vector<LookupVm> m_vms;
  size_t m_next_vm = 0;
  TriedList m_tried;
  int m_sends = 0;
  /// Number of the current send; answers to earlier ones count as late.
  int m_current = 0;
  bool m_is_over = false;
};
using JobPtr = std::shared_ptr<CallerJob>;

/// Where a request inside one VM came from.
struct Origin {
  JobPtr m_job;              ///< The caller's request, also when handed on.
  int m_send = 0;            ///< Which send of it.
  size_t m_from_vm = 0;      ///< When handed on: by whom,
  uint64_t m_from_life = 0;  ///< in which life,
  AttemptId m_attempt;       ///< as which try.
  bool m_handed_on = false;
  bool m_is_late = false;  ///< Held up on its way by a fault.
};

/// A request that runs at a backend server.
struct Running {
  size_t m_vm = 0;
  uint64_t m_life = 0;
  AttemptId m_attempt;
  size_t m_backend = 0;
  bool m_is_over = false;
};
using RunningPtr = std::shared_ptr<Running>;

/// Drives the Nodes of one deployment through load and faults, and checks the
/// promises of "What must always hold" from outside.
class ProductRun {
 public:
  explicit ProductRun(const RunOptions& options);
  RunResult Run();

 private:
  // product_run.cc: nodes, messages, backend servers.
  void Boot(size_t vm);
  void Kill(size_t vm);
  void Feed(size_t vm, const Event& event);
  void Deliver(size_t vm, uint64_t life, Duration delay, Event event);
  void Tick(size_t vm, uint64_t life);
  void Do(size_t vm, const DispatchToBackend& action);
  void Do(size_t vm, const HandOnToVm& action);
  void Do(size_t vm, const CancelAttempt& action);
  void Do(size_t vm, const ForwardAnswer& action);
  void Do(size_t vm, const ReplayAnswer& action);
  void Do(size_t vm, const ReplayPeerAnswer& action);
  void Do(size_t vm, const RefuseCall& action);
  void Do(size_t vm, const QueryKeyState& action);
  void Do(size_t vm, const SendGossip& action);
  void Do(size_t vm, const SendSlotNotice& action);
  void Do(size_t vm, const FetchConfig& action);
  void Do(size_t vm, const RecordEvent& action);
  void Do(size_t vm, const ExitProcess& action);
  void StartRun(const RunningPtr& running,
                const Origin& origin,
                Duration time_left);
  void EndRun(const RunningPtr& running, AttemptOutcome outcome);
  void CheckShiftCap(PlaceId place, const Origin& origin);
  bool IsCut(size_t a, size_t b) const;
  bool IsUp(size_t vm, uint64_t life) const;
  size_t VmAt(VmAddress address) const;

  // product_callers.cc: callers and faults.
  void Begin(const Arrival& arrival);
  void Send(const JobPtr& job);
  void SendLost(const JobPtr& job, int send);
  void Answer(const JobPtr& job,
              int send,
              Verdict verdict,
              const std::string& reason,
              uint64_t answer_of);
  void ScheduleFaults();
  void FaultStep();
  void InstallEverywhere(const std::string& overlay);
  void Trace(const std::string& line);
  void Tell(const Arrival& arrival, const std::string& line);
  void FailWithStory(const Arrival& arrival, const std::string& violation);
  std::string Stamp() const;

  World m_world;
  std::vector<FakeVm> m_vms;
  std::map<std::pair<size_t, RequestId>, Origin> m_origins;
  std::map<std::pair<size_t, AttemptId>, RunningPtr> m_running;
  std::map<std::pair<size_t, AttemptId>, std::pair<size_t, RequestId>> m_handed;
  uint64_t m_next_request = 1;
  /// Runs by request number.
  std::unordered_map<uint64_t, int> m_runs;
  std::unordered_map<uint32_t, std::pair<TimePoint, std::vector<LookupVm>>>
      m_lookups;
  std::vector<RateWindow> m_shifted;
  std::set<std::pair<size_t, size_t>> m_cuts;
  std::map<size_t, TimePoint> m_leaving;
  std::shared_ptr<const Snapshot> m_current;
  uint64_t m_version = 1;
  std::deque<std::string> m_trace;
  /// What happened to each non-idempotent request.
  std::unordered_map<uint64_t, std::vector<std::string>> m_stories;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_PRODUCT_RUN_H_
