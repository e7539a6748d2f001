/// @file node_calls.cc Request pipeline of the decision core.

#include <algorithm>

#include "core/invariant_func.h"
#include "core/node.h"
#include "core/timing_type.h"
#include "pipeline/choose_place_filter.h"
#include "pipeline/retry_filter.h"

namespace sorrelplank {

namespace {

/// Lower bound of the retry delay stated to refused callers.
constexpr Duration kMinRetryAfter = milliseconds(50);
/// Maximum number of holders that are notified of a waiting request.
constexpr size_t kMaxSlotRequestTargets = 3;

KeyState ToKeyState(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return KeyState::kNotRun;
    case Verdict::kMayHaveRun:
      return KeyState::kMayHaveRun;
    case Verdict::kRan:
      return KeyState::kRan;
  }
  return KeyState::kMayHaveRun;
}

}  // namespace

void Node::ApplyKeyDecision(Call& call, const KeyDecision& decision) {
  if (std::holds_alternative<KeyProceed>(decision)) {
    DispatchOrQueue(call);
    return;
  }
  if (const auto* replay = std::get_if<KeyReplay>(&decision)) {
    ++m_counters.m_replayed;
    Emit(ReplayAnswer{call.m_request, replay->m_original});
    call.m_key = KeyHash();
    EndCall(call.m_request);
    return;
  }
  if (const auto* refuse = std::get_if<KeyRefuse>(&decision)) {
    // A repeat of a key in progress must not overwrite the record of that key.
    const bool is_ours = m_keys.Find(call.m_key).m_request == call.m_request;
    if (!is_ours) {
      call.m_key = KeyHash();
    }
    Refuse(call, refuse->m_reason, refuse->m_verdict, RetryAfter(call));
    return;
  }
  const auto& query = std::get<KeyQueryPeers>(decision);
  call.m_stage = CallStage::kQueryingPeers;
  call.m_pending_queries = static_cast<uint32_t>(query.m_vms.size());
  for (const TriedVm& vm : query.m_vms) {
    const Member* member = m_membership.Find(vm.m_name);
    const VmAddress address =
        member == nullptr ? VmAddress{} : member->m_record.m_address;
    Emit(QueryKeyState{call.m_request, vm.m_name, address, vm.m_incarnation,
                       call.m_key, SendNumber(call.m_tried)});
  }
}

void Node::DispatchOrQueue(Call& call) {
  if (!call.m_handed_on) {
    StateOf(call.m_service)
        .Budget()
        .CountFirstAttempt(ConfigOf(call.m_service).m_retry_budget);
  }
  if (TryDispatch(call)) {
    return;
  }
  if (call.m_handed_on) {
    // Refused at once, so that the forwarding entry VM loses only one round
    // trip.
    AddSlotWaiter(call.m_service, call.m_from);
    Refuse(call, RefusalReason::kNoCapacity, Verdict::kNotRun,
           RetryAfter(call));
    return;
  }
  WaitOrRefuse(call);
}

bool Node::TryDispatch(Call& call) {
  const auto backend =
      BackendFilter().Apply(call, m_holdings, m_link_windows, m_now);
  if (!backend) {
    return false;
  }
  call.m_stage = CallStage::kRunning;
  call.m_backend = backend;
  call.m_attempt = AttemptId(m_next_attempt++);
  call.m_attempt_started = m_now;
  ++call.m_backend_attempts;
  call.m_tried_backends.push_back(*backend);
  m_attempts[call.m_attempt] = call.m_request;
  StateOf(call.m_service).Queue().CountRunning(call.m_caller, 1);
  ++m_counters.m_dispatched;
  Emit(DispatchToBackend{call.m_request, call.m_attempt, *backend,
                         call.m_deadline - m_now, call.m_idempotent});
  return true;
}

bool Node::TryHandOn(Call& call, double cost_of_waiting) {
  const Route* route = ChoosePlaceFilter(*m_snapshot)
                           .Apply(call, m_routes.RoutesOf(call.m_service),
                                  StateOf(call.m_service).RunTime(),
                                  cost_of_waiting, m_random, m_now);
  if (route == nullptr) {
    return false;
  }
  SlotEstimate& estimate = *route->m_estimate;
  estimate.m_retry_at = TimePoint{};
  estimate.m_free -= estimate.m_free > 0 ? 1 : 0;
  const VmRecord& record = route->m_member->m_record;
  call.m_stage = CallStage::kRunning;
  call.m_peer = record.m_name;
  call.m_attempt = AttemptId(m_next_attempt++);
  call.m_attempt_started = m_now;
  ++call.m_peer_attempts;
  call.m_tried_peers.push_back(record.m_name);
  m_attempts[call.m_attempt] = call.m_request;
  ++m_counters.m_handed_on;
  const NameHash home =
      call.m_home_place.value_or(m_snapshot->Get(m_place).m_hash);
  Emit(HandOnToVm{call.m_request, call.m_attempt, record.m_name,
                  record.m_address, home, call.m_caller,
                  call.m_deadline - m_now});
  return true;
}

void Node::WaitOrRefuse(Call& call) {
  ServiceState& state = StateOf(call.m_service);
  const ServiceSlots own =
      BackendFilter().CountSlots(call.m_service, m_holdings, m_now);
  const Duration wait = state.EstimateWait(own.m_held);
  const ChoosePlaceFilter filter(*m_snapshot);
  if (TryHandOn(call, filter.CostOfWaiting(wait, state.RunTime()))) {
    return;
  }
  if (m_now + wait + state.RunTime() / 2 > call.m_deadline) {
    // Waiting would end in a timeout. Refusing now lets the caller go elsewhere
    // or retry, and keeps the queue for requests that can be served in time.
    Refuse(call, RefusalReason::kDeadlineTooShort, call.m_verdict,
           RetryAfter(call));
    return;
  }
  const size_t limit = ConfigOf(call.m_service).m_queue_limit;
  const QueuedRequest waiting{call.m_request, call.m_caller, call.m_deadline};
  if (!state.Queue().TryPush(waiting, limit)) {
    Refuse(call, RefusalReason::kNoCapacity, call.m_verdict, RetryAfter(call));
    return;
  }
  call.m_stage = CallStage::kWaiting;
  call.m_tried_peers.clear();
  RequestSlots(call);
  ++m_counters.m_queued;
}

void Node::HandleAttemptEnd(Call& call, const AttemptEnded& event) {
  const NameHash service = call.m_service;
  const bool was_local = call.m_backend.has_value();
  const Duration took = m_now - call.m_attempt_started;
  if (!was_local && event.m_slots) {
    m_membership.UpdateSlotEstimate(
        call.m_peer, *event.m_slots,
        event.m_outcome == AttemptOutcome::kPeerRefused
            ? m_now + event.m_retry_after
            : TimePoint{});
  }
  if (was_local) {
    ReleaseSlot(call, event.m_outcome);
    if (event.m_outcome == AttemptOutcome::kAnswered) {
      StateOf(service).CountRun(took);
    }
  }
  const RetryDecision decision =
      RetryFilter(m_safeguards)
          .Apply(call, event.m_outcome, StateOf(service).Budget(), m_now);
  call.m_verdict =
      std::max(call.m_verdict, DescribeOutcome(event.m_outcome).m_verdict);
  if (std::holds_alternative<RetryNotNeeded>(decision)) {
    ++m_counters.m_answered;
    if (call.m_key != KeyHash()) {
      m_keys.End(call.m_key, KeyState::kRan);
    }
    Emit(ForwardAnswer{call.m_request, event.m_attempt});
    EndCall(call.m_request);
  } else if (const auto* denied = std::get_if<RetryDenied>(&decision)) {
    Refuse(call, denied->m_reason, denied->m_verdict, RetryAfter(call));
  } else if (!TryDispatch(call)) {
    WaitOrRefuse(call);
  }
  if (was_local) {
    DrainQueue(service);
    OfferFreeSlot(service);
  }
}

void Node::AddSlotWaiter(NameHash service, const VmName& vm) {
  const Member* member = m_membership.Find(vm);
  const auto place = member == nullptr
                         ? std::nullopt
                         : m_snapshot->FindPlace(member->m_record.m_place);
  const bool is_same_region = place && m_snapshot->Get(*place).m_region ==
                                           m_snapshot->Get(m_place).m_region;
  if (is_same_region) {
    StateOf(service).AddSlotWaiter(vm, m_now);
  }
}

void Node::RequestSlots(const Call& call) {
  // Heartbeats are too rare to report slots that are free for milliseconds
  // only, so the nearest holders are notified that a request waits here.
  const ServiceSlots own = SlotsOf(call.m_service, m_now);
  const RegionId region = m_snapshot->Get(m_place).m_region;
  size_t notified = 0;
  for (const Route& route : m_routes.RoutesOf(call.m_service)) {
    const auto place = m_snapshot->FindPlace(route.m_place);
    if (notified == kMaxSlotRequestTargets || !place ||
        m_snapshot->Get(*place).m_region != region) {
      return;
    }
    if (route.m_estimate->m_held > 0) {
      const VmRecord& record = route.m_member->m_record;
      Emit(SendSlotNotice{record.m_name, record.m_address, own, true});
      ++notified;
    }
  }
}

void Node::OfferFreeSlot(NameHash service) {
  const ServiceSlots slots = SlotsOf(service, m_now);
  if (slots.m_free == 0) {
    return;
  }
  const VmName vm = StateOf(service).TakeSlotWaiter(m_now);
  const Member* member = m_membership.Find(vm);
  if (member != nullptr) {
    Emit(SendSlotNotice{vm, member->m_record.m_address, slots, false});
  }
}

void Node::ReleaseSlot(Call& call, AttemptOutcome outcome) {
  HeldBackend* held = m_holdings.Find(*call.m_backend);
  Invariant(held != nullptr,
            "a backend server with requests in flight is known");
  const bool was_ejected = held->IsEjected(m_now);
  if (!m_safeguards.m_abort_grace &&
      outcome == AttemptOutcome::kDeadlineAfterSend) {
    outcome = AttemptOutcome::kNoAnswer;
  }
  held->Finish(outcome, m_now - call.m_attempt_started, m_now);
  if (!was_ejected && held->IsEjected(m_now)) {
    Record(TimelineKind::kBackendSetAside,
           std::string("after ") + DescribeOutcome(outcome).m_name,
           call.m_service, call.m_request);
  }
  StateOf(call.m_service).Queue().CountRunning(call.m_caller, -1);
  call.m_backend.reset();
}

void Node::DrainQueue(NameHash service) {
  ServiceState& state = StateOf(service);
  while (true) {
    const auto waiting = state.Queue().Pop();
    if (!waiting) {
      return;
    }
    Call& call = m_calls.at(waiting->m_request);
    Invariant(call.m_stage == CallStage::kWaiting,
              "a queued request is in the waiting stage");
    if (TryDispatch(call)) {
      continue;
    }
    const ServiceSlots own =
        BackendFilter().CountSlots(service, m_holdings, m_now);
    const double cost =
        ChoosePlaceFilter(*m_snapshot)
            .CostOfWaiting(state.EstimateWait(own.m_held), state.RunTime());
    if (TryHandOn(call, cost)) {
      continue;
    }
    state.Queue().Requeue(*waiting);
    return;
  }
}

void Node::DrainQueues() {
  if (!m_snapshot) {
    return;
  }
  for (auto& [service, state] : m_services) {
    if (state.Queue().Size() > 0) {
      DrainQueue(service);
    }
  }
}

void Node::ExpireCalls() {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
    const RequestId request = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    const auto it = m_calls.find(request);
    if (it == m_calls.end()) {
      continue;
    }
    Call& call = it->second;
    if (call.m_stage == CallStage::kRunning) {
      AbortAttempt(call, AttemptOutcome::kDeadlineAfterSend);
    }
    Refuse(call, RefusalReason::kDeadlinePassed, call.m_verdict,
           RetryAfter(call));
  }
  for (auto& [service, state] : m_services) {
    // Requests that can no longer be answered in time are refused now instead
    // of at their deadline.
    const TimePoint soonest = m_now + state.RunTime() / 2;
    for (const QueuedRequest& waiting : state.Queue().TakeExpired(soonest)) {
      Call& call = m_calls.at(waiting.m_request);
      // Any stage but kWaiting: it is no longer in the queue.
      call.m_stage = CallStage::kQueryingPeers;
      Refuse(call, RefusalReason::kDeadlineTooShort, call.m_verdict,
             RetryAfter(call));
    }
  }
  m_keys.Expire(m_now);
}

void Node::AbortAttempt(Call& call, AttemptOutcome outcome) {
  m_attempts.erase(call.m_attempt);
  ++m_counters.m_outcomes[static_cast<size_t>(outcome)];
  Emit(CancelAttempt{call.m_attempt});
  call.m_verdict = std::max(call.m_verdict, DescribeOutcome(outcome).m_verdict);
  if (call.m_backend) {
    ReleaseSlot(call, outcome);
  }
}

void Node::Refuse(Call& call,
                  RefusalReason reason,
                  Verdict verdict,
                  Duration retry_after) {
  ++m_counters.m_refused[static_cast<size_t>(reason)];
  RefuseCall refusal{call.m_request, reason, verdict, retry_after, {}};
  if (m_snapshot && reason != RefusalReason::kUnknownService) {
    refusal.m_slots =
        BackendFilter().CountSlots(call.m_service, m_holdings, m_now);
  }
  if (call.m_key != KeyHash()) {
    m_keys.End(call.m_key, ToKeyState(verdict));
  }
  const RequestId request = call.m_request;
  if (!call.m_handed_on) {
    Record(TimelineKind::kRefused,
           std::string(DescribeRefusal(reason).m_name) + " " +
               VerdictName(verdict),
           call.m_service, request);
  }
  Emit(refusal);
  EndCall(request);
}

void Node::EndCall(RequestId request) {
  const auto it = m_calls.find(request);
  if (it == m_calls.end()) {
    return;
  }
  Call& call = it->second;
  if (call.m_stage == CallStage::kWaiting) {
    StateOf(call.m_service).Queue().Remove(request);
  }
  const auto [first, last] = m_deadlines.equal_range(call.m_deadline);
  const auto entry = std::find_if(
      first, last, [&](const auto& item) { return item.second == request; });
  if (entry != last) {
    m_deadlines.erase(entry);
  }
  m_calls.erase(it);
}

Duration Node::RetryAfter(const Call& call) {
  if (!m_snapshot || !m_snapshot->FindService(call.m_service)) {
    return kMinRetryAfter;
  }
  const ServiceState& state = StateOf(call.m_service);
  const ServiceSlots own =
      BackendFilter().CountSlots(call.m_service, m_holdings, m_now);
  const Duration wait = state.EstimateWait(own.m_held);
  return call.m_handed_on ? wait : std::max(kMinRetryAfter, 2 * wait);
}

ServiceState& Node::StateOf(NameHash service) {
  const auto it = m_services.find(service);
  if (it != m_services.end()) {
    return it->second;
  }
  const auto id = m_snapshot->FindService(service);
  const Duration expected =
      id ? m_snapshot->Get(*id).m_expected_run : Duration(milliseconds(20));
  return m_services.emplace(service, ServiceState(expected)).first->second;
}

const Service& Node::ConfigOf(NameHash service) const {
  static const Service removed;
  const auto id = m_snapshot->FindService(service);
  return id ? m_snapshot->Get(*id) : removed;
}

ChooseBackendFilter Node::BackendFilter() const {
  return {*m_snapshot, m_place, m_safeguards};
}

}  // namespace sorrelplank
