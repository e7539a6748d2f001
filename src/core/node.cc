/// @file node.cc Event handlers of the decision core.

#include "core/node.h"

#include <algorithm>
#include <utility>

#include "core/invariant_func.h"
#include "core/timing_type.h"
#include "pipeline/classify_filter.h"

namespace sorrelplank {

namespace {

constexpr Duration kDefaultRepeatWindow = seconds(120);

}  // namespace

Node::Node(NodeIdentity identity, Safeguards safeguards, TimePoint now)
    : m_identity(std::move(identity)),
      m_safeguards(safeguards),
      m_random(m_identity.m_seed),
      m_now(now),
      m_started(now),
      m_membership(m_identity.m_name,
                   m_identity.m_place,
                   m_identity.m_incarnation),
      m_holdings(m_identity.m_name, m_identity.m_incarnation, safeguards, now),
      m_keys(kDefaultRepeatWindow),
      m_key_filter(m_identity.m_name, m_identity.m_incarnation) {}

void Node::Handle(const Event& event, TimePoint now, Actions& actions) {
  m_actions = &actions;
  CheckPause(now);
  m_now = std::max(m_now, now);
  std::visit([this](const auto& specific) { On(specific); }, event);
  m_actions = nullptr;
}

LookupAnswer Node::Lookup(uint32_t caller_ip, TimePoint now) const {
  return m_lookups.Find(caller_ip, now - m_installed);
}

KeyRecord Node::AnswerKeyQuery(KeyHash key, uint32_t send, TimePoint now) {
  KeyRecord record = m_keys.Find(key);
  record.m_state = m_keys.AnswerPeerQuery(key, send, now);
  return record;
}

std::vector<ServiceSlots> Node::Slots(TimePoint now) {
  std::vector<ServiceSlots> slots;
  if (!m_snapshot) {
    return slots;
  }
  const ChooseBackendFilter filter = BackendFilter();
  for (const Service& service : m_snapshot->m_services) {
    slots.push_back(filter.CountSlots(service.m_hash, m_holdings, now));
  }
  return slots;
}

ServiceSlots Node::SlotsOf(NameHash service, TimePoint now) {
  return m_snapshot ? BackendFilter().CountSlots(service, m_holdings, now)
                    : ServiceSlots{service, 0, 0};
}

std::vector<Node::HeldStatus> Node::HeldBackends(TimePoint now) {
  std::vector<HeldStatus> held;
  for (const NameHash hash : m_holdings.ListedBackends(now)) {
    HeldBackend* backend = m_holdings.Find(hash);
    if (backend == nullptr) {
      held.push_back({hash, 0, 0, false});  // Claimed, not held yet.
      continue;
    }
    held.push_back({hash, backend->Slots(), backend->InFlight(now),
                    m_holdings.Dispatchable(hash) != nullptr});
  }
  return held;
}

size_t Node::QueuedCalls() const {
  size_t queued = 0;
  for (const auto& [request, call] : m_calls) {
    queued += call.m_stage == CallStage::kWaiting ? 1 : 0;
  }
  return queued;
}

void Node::On(const CallArrived& event) {
  const IncomingCall& incoming = event.m_call;
  m_last_arrival = m_now;
  ++(incoming.m_handed_on ? m_counters.m_handed_on_here : m_counters.m_calls);
  Invariant(!m_calls.contains(incoming.m_request), "request ids are unique");
  Call call;
  call.m_request = incoming.m_request;
  call.m_service = incoming.m_service;
  call.m_handed_on = incoming.m_handed_on;
  if (!m_snapshot) {
    Refuse(call, RefusalReason::kNotReady, Verdict::kNotRun,
           kHeartbeatInterval);
    return;
  }
  const auto classified = ClassifyFilter(*m_snapshot).Apply(incoming, m_now);
  if (const auto* reason = std::get_if<RefusalReason>(&classified)) {
    Refuse(call, *reason, Verdict::kNotRun, Duration::zero());
    return;
  }
  call = std::get<Call>(classified);
  m_deadlines.emplace(call.m_deadline, call.m_request);
  Call& stored = m_calls.emplace(call.m_request, call).first->second;
  const bool uses_key = call.m_key != KeyHash() && !call.m_idempotent &&
                        !call.m_handed_on && m_safeguards.m_key_memory;
  if (!uses_key) {
    stored.m_key = KeyHash();
    DispatchOrQueue(stored);
    return;
  }
  ApplyKeyDecision(stored,
                   m_key_filter.Apply(stored, m_keys, m_membership, m_now));
}

void Node::On(const CallerLeft& event) {
  const auto it = m_calls.find(event.m_request);
  if (it == m_calls.end()) {
    return;
  }
  Call& call = it->second;
  if (call.m_stage == CallStage::kRunning) {
    AbortAttempt(call, AttemptOutcome::kCancelledAfterSend);
  }
  Refuse(call, RefusalReason::kCallerLeft, call.m_verdict, Duration::zero());
}

void Node::On(const AttemptEnded& event) {
  const auto attempt = m_attempts.find(event.m_attempt);
  if (attempt == m_attempts.end()) {
    // The attempt was abandoned and its caller has a final answer already.
    // The event is dropped, so that a late answer is never delivered.
    ++m_counters.m_late_ends;
    return;
  }
  const auto it = m_calls.find(attempt->second);
  Invariant(it != m_calls.end() && it->second.m_attempt == event.m_attempt,
            "an open attempt belongs to an open request");
  m_attempts.erase(attempt);
  ++m_counters.m_outcomes[static_cast<size_t>(event.m_outcome)];
  HandleAttemptEnd(it->second, event);
}

void Node::On(const KeyStateReceived& event) {
  const auto it = m_calls.find(event.m_request);
  if (it == m_calls.end() || it->second.m_stage != CallStage::kQueryingPeers) {
    return;
  }
  Call& call = it->second;
  if (event.m_state == KeyState::kRan) {
    ++m_counters.m_replayed;
    m_keys.End(call.m_key, KeyState::kRan);
    Emit(ReplayPeerAnswer{call.m_request, event.m_vm});
    call.m_key = KeyHash();
    EndCall(call.m_request);
    return;
  }
  const KeyDecision decision = KeyFilter::DecideByKeyState(event.m_state);
  if (!std::holds_alternative<KeyProceed>(decision)) {
    ApplyKeyDecision(call, decision);
    return;
  }
  --call.m_pending_queries;
  if (call.m_pending_queries == 0) {
    DispatchOrQueue(call);
  }
}

void Node::On(const GossipArrived& event) {
  // The sender's own record comes first.
  const bool is_from_elsewhere =
      !event.m_records.empty() &&
      event.m_records.front().m_place != m_identity.m_place;
  bool tables_change = false;
  bool holdings_change = false;
  for (const VmRecord& record : event.m_records) {
    tables_change |= ChangesTables(record);
    const MergeResult result = m_membership.Merge(record, m_now);
    if (result == MergeResult::kNewerIncarnationOfSelf) {
      HandleDuplicateProcess(record);
    }
    if (result == MergeResult::kStale ||
        result == MergeResult::kNewerIncarnationOfSelf) {
      continue;
    }
    ++m_counters.m_gossip_records;
    m_membership.Find(record.m_name)->m_is_relay_pending = is_from_elsewhere;
    if (record.m_place == m_identity.m_place) {
      holdings_change = true;
      m_holdings.Observe(record, m_now);
      ContactUnknownSiblings(record);
    }
    const ConfigVersion ours =
        m_snapshot ? m_snapshot->m_version : ConfigVersion();
    if (record.m_config_version > ours && m_now >= m_next_fetch) {
      m_next_fetch = m_now + kHeartbeatInterval;
      Emit(FetchConfig{record.m_name, record.m_address,
                       record.m_config_version});
    }
  }
  if (holdings_change) {
    ReconcileHoldings();
  }
  if (tables_change) {
    RebuildTables();
  }
  DrainQueues();
}

void Node::On(const SlotNoticeArrived& event) {
  const NameHash service = event.m_slots.m_service;
  if (!m_snapshot || !m_snapshot->FindService(service)) {
    return;
  }
  m_membership.UpdateSlotEstimate(event.m_vm, event.m_slots, TimePoint{});
  if (event.m_is_slot_request) {
    AddSlotWaiter(service, event.m_vm);
    OfferFreeSlot(service);
  } else {
    DrainQueue(service);
  }
}

void Node::On(const SnapshotInstalled& event) {
  const ConfigVersion ours =
      m_snapshot ? m_snapshot->m_version : ConfigVersion();
  if (event.m_snapshot->m_version <= ours && m_safeguards.m_version_floor) {
    // A restored store or a slow peer offers an old version. Installing it
    // would revert changes that operators were told are in force.
    Record(TimelineKind::kConfigRefused,
           "version " + std::to_string(event.m_snapshot->m_version.Get()) +
               " is not above " + std::to_string(ours.Get()));
    return;
  }
  const auto place = event.m_snapshot->FindPlace(m_identity.m_place);
  if (!place) {
    Record(TimelineKind::kConfigRefused, "our own place is not configured");
    return;
  }
  m_snapshot = event.m_snapshot;
  m_place = *place;
  m_installed = m_now;
  m_keys.SetWindow(m_snapshot->m_policy.m_repeat_window);
  m_holdings.Install(*m_snapshot, m_place);
  Record(TimelineKind::kConfigInstalled,
         "version " + std::to_string(m_snapshot->m_version.Get()));
  ReconcileHoldings();
  RebuildTables();
  DrainQueues();
  m_next_heartbeat = m_now;
}

void Node::On(const SeedsLearned& event) {
  for (const VmAddress& seed : event.m_seeds) {
    const bool is_known =
        std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end();
    if (!is_known && seed != m_identity.m_address) {
      m_seeds.push_back(seed);
    }
  }
}

void Node::On(const Tick&) {
  if (m_now >= m_next_heartbeat) {
    m_next_heartbeat = m_now + kHeartbeatInterval;
    Heartbeat();
  }
  RaiseIncarnation();
  ExpireCalls();
  DrainQueues();
  CheckExit();
}

void Node::On(const StopRequested&) {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_stop_requested = m_now;
  Record(TimelineKind::kStopping, "asked to stop");
  ReconcileHoldings();
  RebuildTables();
  m_next_heartbeat = m_now;
}

}  // namespace sorrelplank
