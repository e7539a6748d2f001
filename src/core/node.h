/// @file node.h The decision core of one entry VM.

#ifndef SORRELPLANK_CORE_NODE_H_
#define SORRELPLANK_CORE_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/action_type.h"
#include "core/call_type.h"
#include "core/event_type.h"
#include "core/holdings.h"
#include "core/key_memory.h"
#include "core/lookup_table.h"
#include "core/membership.h"
#include "core/node_counters_type.h"
#include "core/node_identity_type.h"
#include "core/route_table.h"
#include "core/safeguards_type.h"
#include "core/service_state.h"
#include "core/snapshot_type.h"
#include "pipeline/choose_backend_filter.h"
#include "pipeline/key_filter.h"

namespace sorrelplank {

/// Makes all decisions of one entry VM. It uses no sockets, threads or clocks:
/// it is given events with their time and appends actions. The process and the
/// randomised runs use this same class.
class Node {
 public:
  Node(NodeIdentity identity, Safeguards safeguards, TimePoint now);

  /// Handles one event. Times must not decrease.
  void Handle(const Event& event, TimePoint now, Actions& actions);

  /// Answers a lookup.
  LookupAnswer Lookup(uint32_t caller_ip, TimePoint now) const;

  /// Records to send to a VM of the given place. Another place gets all records
  /// of our place. A sibling gets our own record and, if it wants all, those of
  /// the other places as well.
  std::vector<VmRecord> RecordsFor(NameHash place,
                                   bool wants_all,
                                   TimePoint now);

  /// Records to send in answer to a VM's gossip. If a larger incarnation of
  /// that VM is known, its last record is included.
  std::vector<VmRecord> AnswerGossip(const VmRecord& from,
                                     bool wants_all,
                                     TimePoint now);

  /// Answers another VM's query for a key. The answer is binding; see
  /// KeyMemory.
  KeyRecord AnswerKeyQuery(KeyHash key, uint32_t send, TimePoint now);

  /// The configuration in force; null before the first one.
  const std::shared_ptr<const Snapshot>& Config() const { return m_snapshot; }

  const NodeIdentity& Identity() const { return m_identity; }
  const Membership& Members() const { return m_membership; }
  const NodeCounters& Counters() const { return m_counters; }
  bool IsReady() const { return m_snapshot != nullptr && !m_stopping; }
  bool IsStopping() const { return m_stopping; }
  bool IsFenced() const { return m_holdings.IsDemoted(); }

  /// Held and free slots per service, for status output.
  std::vector<ServiceSlots> Slots(TimePoint now);

  /// Held and free slots of one service.
  ServiceSlots SlotsOf(NameHash service, TimePoint now);

  /// Listed backend servers and their requests in flight, for status output.
  struct HeldStatus {
    NameHash m_backend;
    uint32_t m_slots = 0;
    uint32_t m_in_flight = 0;
    bool m_dispatchable = false;
  };
  std::vector<HeldStatus> HeldBackends(TimePoint now);

  /// Number of requests without an answer.
  size_t OpenCalls() const { return m_calls.size(); }

  /// Number of requests that wait for a slot.
  size_t QueuedCalls() const;

 private:
  // node.cc: event handlers.
  void On(const CallArrived& event);
  void On(const CallerLeft& event);
  void On(const AttemptEnded& event);
  void On(const KeyStateReceived& event);
  void On(const GossipArrived& event);
  void On(const SlotNoticeArrived& event);
  void On(const SnapshotInstalled& event);
  void On(const SeedsLearned& event);
  void On(const Tick& event);
  void On(const StopRequested& event);

  // node_calls.cc: request pipeline.
  void ApplyKeyDecision(Call& call, const KeyDecision& decision);
  void DispatchOrQueue(Call& call);
  bool TryDispatch(Call& call);
  bool TryHandOn(Call& call, double cost_of_waiting);
  void WaitOrRefuse(Call& call);
  void HandleAttemptEnd(Call& call, const AttemptEnded& event);
  void ReleaseSlot(Call& call, AttemptOutcome outcome);
  void AddSlotWaiter(NameHash service, const VmName& vm);
  void RequestSlots(const Call& call);
  void OfferFreeSlot(NameHash service);
  void DrainQueue(NameHash service);
  void DrainQueues();
  void ExpireCalls();
  void AbortAttempt(Call& call, AttemptOutcome outcome);
  void Refuse(Call& call,
              RefusalReason reason,
              Verdict verdict,
              Duration retry_after);
  void EndCall(RequestId request);
  Duration RetryAfter(const Call& call);
  ServiceState& StateOf(NameHash service);
  const Service& ConfigOf(NameHash service) const;
  ChooseBackendFilter BackendFilter() const;

  // node_membership.cc: heartbeats, holdings, planned stop.
  void Heartbeat();
  std::vector<VmRecord> RecordsForSiblings();
  void SendToSiblings();
  void Send(const VmName& vm, VmAddress address, std::vector<VmRecord> records);
  void SendToPlaces();
  void SendToSeed();
  std::vector<VmName> EligibleHolders();
  void ReconcileHoldings();
  /// Whether merging the record requires the route and lookup tables to be
  /// rebuilt.
  bool ChangesTables(const VmRecord& record);
  void RebuildTables();
  void CheckPause(TimePoint now);
  void CheckExit();
  void HandleDuplicateProcess(const VmRecord& record);
  void RaiseIncarnation();
  void ContactUnknownSiblings(const VmRecord& record);
  /// Returns whether a VM became live or silent.
  bool RecordMembershipChanges();
  VmRecord SelfRecord();

  void Record(TimelineKind kind,
              const std::string& detail,
              NameHash service = NameHash(),
              RequestId request = RequestId());
  void Emit(Action action) { m_actions->push_back(std::move(action)); }

  NodeIdentity m_identity;
  Safeguards m_safeguards;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_started;
  Actions* m_actions = nullptr;

  std::shared_ptr<const Snapshot> m_snapshot;
  PlaceId m_place;
  TimePoint m_installed{};
  Membership m_membership;
  Holdings m_holdings;
  LinkWindows m_link_windows;
  RouteTable m_routes;
  LookupTable m_lookups;
  KeyMemory m_keys;
  KeyFilter m_key_filter;
  std::unordered_map<NameHash, ServiceState> m_services;

  std::unordered_map<RequestId, Call> m_calls;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::multimap<TimePoint, RequestId> m_deadlines;
  uint64_t m_next_attempt = 1;

  uint64_t m_sequence = 0;
  TimePoint m_next_heartbeat{};
  TimePoint m_next_fetch{};
  std::vector<VmAddress> m_seeds;
  size_t m_next_seed = 0;
  std::map<VmName, bool> m_previous_liveness;
  bool m_is_replaced = false;
  /// Another process with our name and a larger incarnation.
  struct DuplicateProcess {
    Incarnation m_incarnation;
    uint64_t m_sequence = 0;
    TimePoint m_since{};
  };
  std::optional<DuplicateProcess> m_duplicate;
  bool m_stopping = false;
  bool m_exit_sent = false;
  TimePoint m_stop_requested{};
  /// Arrival of the last request, and end of the last pause.
  TimePoint m_last_arrival{};
  TimePoint m_resumed{};
  NodeCounters m_counters;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_NODE_H_
