/// @file product_run.cc Simulated entry VMs, messages and backend servers.

#include "trial/product_run.h"

#include <algorithm>
#include <utility>

#include "core/invariant_func.h"
#include "core/timing_type.h"

namespace sorrelplank::trial {

namespace {

constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kBackendLatency = microseconds(100);
constexpr int kVmsPerPlace = 2;

}  // namespace

ProductRun::ProductRun(const RunOptions& options)
    : m_simulation(options), m_current(m_simulation.m_config) {
  m_shifted.resize(m_simulation.m_config->m_places.size());
  for (size_t place = 0; place < m_shifted.size(); ++place) {
    for (int number = 0; number < kVmsPerPlace; ++number) {
      const auto at = static_cast<uint32_t>(m_vms.size());
      m_vms.push_back({m_simulation.m_config->m_places[place].m_name + "-vm" +
                           std::to_string(number),
                       PlaceId(static_cast<uint16_t>(place)),
                       {0x7F000001U + at, 7070},
                       nullptr,
                       0,
                       false,
                       {}});
    }
  }
}

RunResult ProductRun::Run() {
  try {
    for (size_t vm = 0; vm < m_vms.size(); ++vm) {
      Boot(vm);
    }
    // Long enough for all entry VMs to get their backend servers assigned.
    const TimePoint ready = m_simulation.m_queue.Now() + seconds(8);
    while (m_simulation.m_queue.Now() < ready) {
      m_simulation.m_queue.RunOne();
    }
    m_simulation.StartSampling();
    ScheduleFaults();
    m_simulation.StartArrivals([this](const Arrival& a) { Begin(a); });
    while (!m_simulation.m_arrivals_over &&
           m_simulation.m_result.m_violation.empty()) {
      m_simulation.m_queue.RunOne();
    }
    const TimePoint over = m_simulation.m_queue.Now() + seconds(15);
    while (m_simulation.m_queue.Now() < over &&
           m_simulation.m_result.m_violation.empty()) {
      m_simulation.m_queue.RunOne();
    }
    const RunResult& result = m_simulation.m_result;
    if (result.m_violation.empty() &&
        result.m_answered + result.m_not_run + result.m_may_have_run !=
            result.m_sent) {
      m_simulation.Fail("a request got no final answer");
    }
  } catch (const InvariantError& error) {
    m_simulation.Fail(error.what());
  }
  m_simulation.m_result.m_trace.assign(m_trace.begin(), m_trace.end());
  return std::move(m_simulation.m_result);
}

void ProductRun::Boot(size_t vm) {
  FakeVm& self = m_vms[vm];
  self.m_up = true;
  ++self.m_generation;
  self.m_paused_until = {};
  const uint64_t incarnation = self.m_generation;
  self.m_node = std::make_unique<Node>(
      NodeIdentity{
          self.m_name, m_simulation.m_config->Get(self.m_place).m_hash,
          self.m_address, 8080, Incarnation(incarnation),
          m_simulation.m_options.m_seed * 1000 + vm * 100 + incarnation},
      m_simulation.m_options.m_safeguards, m_simulation.m_queue.Now());
  SeedsLearned seeds;
  for (const FakeVm& other : m_vms) {
    seeds.m_seeds.push_back(other.m_address);
  }
  Feed(vm, seeds);
  Feed(vm, SnapshotInstalled{m_current});
  Tick(vm, self.m_generation);
}

void ProductRun::Kill(size_t vm) {
  FakeVm& self = m_vms[vm];
  self.m_up = false;
  self.m_node.reset();
  // Its connections close: backend servers cancel its requests, callers and
  // other VMs see the connection fail.
  std::vector<RunningPtr> runs;
  for (const auto& [key, running] : m_running) {
    if (key.first == vm) {
      runs.push_back(running);
    }
  }
  for (const RunningPtr& running : runs) {
    m_simulation.m_queue.After(kBackendLatency, [this, running] {
      EndRun(running, AttemptOutcome::kCancelledAfterSend);
    });
  }
  std::vector<Origin> origins;
  for (auto it = m_origins.lower_bound({vm, RequestId()});
       it != m_origins.end() && it->first.first == vm;) {
    origins.push_back(it->second);
    it = m_origins.erase(it);
  }
  for (const Origin& origin : origins) {
    if (origin.m_handed_on) {
      m_hand_on_targets.erase({origin.m_from_vm, origin.m_attempt});
      Deliver(
          origin.m_from_vm, origin.m_from_generation, milliseconds(1),
          AttemptEnded{origin.m_attempt, AttemptOutcome::kPeerLost, {}, {}});
    } else {
      m_simulation.m_queue.After(m_simulation.ClientLatency(), [this, origin] {
        HandleLostSend(origin.m_job, origin.m_send);
      });
    }
  }
}

void ProductRun::Feed(size_t vm, const Event& event) {
  Actions actions;
  m_vms[vm].m_node->Handle(event, m_simulation.m_queue.Now(), actions);
  const uint64_t generation = m_vms[vm].m_generation;
  for (const Action& action : actions) {
    if (!IsUp(vm, generation)) {
      return;
    }
    std::visit([&](const auto& specific) { Execute(vm, specific); }, action);
  }
}

void ProductRun::Deliver(size_t vm,
                         uint64_t generation,
                         Duration delay,
                         Event event) {
  m_simulation.m_queue.After(
      delay, [this, vm, generation, event = std::move(event)] {
        if (!IsUp(vm, generation)) {
          return;
        }
        if (m_simulation.m_queue.Now() < m_vms[vm].m_paused_until) {
          Deliver(vm, generation,
                  m_vms[vm].m_paused_until - m_simulation.m_queue.Now(), event);
          return;
        }
        Feed(vm, event);
      });
}

void ProductRun::Tick(size_t vm, uint64_t generation) {
  m_simulation.m_queue.After(kTickInterval, [this, vm, generation] {
    if (!IsUp(vm, generation)) {
      return;
    }
    if (m_simulation.m_queue.Now() >= m_vms[vm].m_paused_until) {
      Feed(vm, sorrelplank::Tick{});
    }
    if (IsUp(vm, generation)) {
      Tick(vm, generation);
    }
  });
}

void ProductRun::Execute(size_t vm, const DispatchToBackend& action) {
  const auto id = m_simulation.m_config->FindBackend(action.m_backend);
  auto running = std::make_shared<Running>(
      Running{vm, m_vms[vm].m_generation, action.m_attempt, id->Get(), false});
  const auto left = m_leaving.find(id->Get());
  if (left != m_leaving.end() &&
      m_simulation.m_queue.Now() - left->second > seconds(3)) {
    m_simulation.Fail("a leaving backend server got new work after 3 s");
    Trace(m_vms[vm].m_name + " dispatched with version " +
          std::to_string(m_vms[vm].m_node->Config()->m_version.Get()) + " to " +
          m_simulation.m_config->Get(*id).m_name + ", leaving since " +
          std::to_string(ToMilliseconds(left->second.time_since_epoch())));
  }
  const Origin origin = m_origins.at({vm, action.m_request});
  m_running[{vm, action.m_attempt}] = running;
  CheckShiftCap(m_simulation.m_backends[id->Get()].m_place, origin);
  m_simulation.m_queue.After(
      kBackendLatency, [this, running, origin, left = action.m_time_left] {
        StartRun(running, origin, left);
      });
}

void ProductRun::StartRun(const RunningPtr& running,
                          const Origin& origin,
                          Duration time_left) {
  FakeBackend& backend = m_simulation.m_backends[running->m_backend];
  if (running->m_is_over || backend.m_down) {
    m_running.erase({running->m_vm, running->m_attempt});
    if (backend.m_down && !running->m_is_over) {
      Deliver(running->m_vm, running->m_generation, kBackendLatency,
              AttemptEnded{
                  running->m_attempt, AttemptOutcome::kConnectFailed, {}, {}});
    }
    return;
  }
  if (backend.m_in_flight >= backend.m_slots) {
    m_simulation.Fail("a backend server was pushed past its slots");
    Trace(m_vms[running->m_vm].m_name + " dispatched to " +
          m_simulation.m_config->Get(backend.m_id).m_name);
    for (const auto& [key, other] : m_running) {
      if (other->m_backend == running->m_backend) {
        Trace("  in flight for " + m_vms[other->m_vm].m_name);
      }
    }
    return;
  }
  ++backend.m_in_flight;
  ++m_simulation.m_result.m_runs;
  const Arrival& arrival = origin.m_job->m_arrival;
  const bool idempotent =
      m_simulation.m_config->Get(arrival.m_service).m_idempotent;
  if (++m_runs[arrival.m_number] > 1 && !idempotent) {
    FailWithHistory(arrival, "a non-idempotent request ran twice");
  }
  const Duration run = m_simulation.RunTime(arrival.m_service);
  const bool ends_in_time = run <= time_left;
  m_simulation.m_queue.After(
      std::min(run, time_left), [this, running, ends_in_time] {
        EndRun(running, ends_in_time ? AttemptOutcome::kAnswered
                                     : AttemptOutcome::kDeadlineAfterSend);
      });
}

void ProductRun::EndRun(const RunningPtr& running, AttemptOutcome outcome) {
  if (running->m_is_over) {
    return;
  }
  running->m_is_over = true;
  m_running.erase({running->m_vm, running->m_attempt});
  FakeBackend& backend = m_simulation.m_backends[running->m_backend];
  backend.m_in_flight -= backend.m_in_flight > 0 ? 1 : 0;
  if (outcome != AttemptOutcome::kAnswered) {
    ++m_simulation.m_result.m_wasted_runs;
    return;
  }
  const auto left = m_leaving.find(running->m_backend);
  if (left != m_leaving.end()) {
    m_simulation.m_result.m_max_drain =
        std::max(m_simulation.m_result.m_max_drain,
                 Duration(m_simulation.m_queue.Now() - left->second));
  }
  Deliver(running->m_vm, running->m_generation, kBackendLatency,
          AttemptEnded{running->m_attempt, outcome, {}, {}});
}

void ProductRun::Execute(size_t vm, const HandOnToVm& action) {
  ++m_simulation.m_result.m_hand_ons;
  const size_t to = VmAt(action.m_address);
  const Origin from = m_origins.at({vm, action.m_request});
  const Duration latency =
      m_simulation.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  AppendHistory(from.m_job->m_arrival,
                m_vms[vm].m_name + " forwards the request to " +
                    m_vms[to].m_name +
                    (IsPartitioned(vm, to) ? ", message lost" : ""));
  if (IsPartitioned(vm, to)) {
    return;  // The message is lost; the attempt ends at the sender's deadline.
  }
  if (!m_vms[to].m_up) {
    Deliver(vm, m_vms[vm].m_generation, latency * 2,
            AttemptEnded{
                action.m_attempt, AttemptOutcome::kPeerUnreachable, {}, {}});
    return;
  }
  const RequestId request(m_next_request++);
  m_hand_on_targets[{vm, action.m_attempt}] = {to, request};
  Origin origin{from.m_job,       from.m_send, vm, m_vms[vm].m_generation,
                action.m_attempt, true};
  IncomingCall call;
  call.m_request = request;
  call.m_service =
      m_simulation.m_config->Get(from.m_job->m_arrival.m_service).m_hash;
  call.m_caller_ip = from.m_job->m_arrival.m_client_ip;
  call.m_home_place = action.m_home_place;
  call.m_handed_on = true;
  call.m_from = m_vms[vm].m_name;
  call.m_time_left = action.m_time_left - latency;
  m_origins[{to, request}] = origin;
  Deliver(to, m_vms[to].m_generation, latency, CallArrived{call});
}

void ProductRun::Execute(size_t vm, const CancelAttempt& action) {
  const auto running = m_running.find({vm, action.m_attempt});
  if (running != m_running.end()) {
    m_simulation.m_queue.After(kBackendLatency, [this, run = running->second] {
      EndRun(run, AttemptOutcome::kCancelledAfterSend);
    });
  }
  const auto target = m_hand_on_targets.find({vm, action.m_attempt});
  if (target != m_hand_on_targets.end()) {
    const auto [to, request] = target->second;
    if (m_vms[to].m_up && !IsPartitioned(vm, to)) {
      Deliver(to, m_vms[to].m_generation,
              m_simulation.Latency(m_vms[vm].m_place, m_vms[to].m_place),
              CallerLeft{request});
    }
    m_hand_on_targets.erase(target);
  }
}

void ProductRun::Execute(size_t vm, const ForwardAnswer& action) {
  const auto it = m_origins.find({vm, action.m_request});
  const Origin origin = it->second;
  m_origins.erase(it);
  if (!origin.m_handed_on) {
    DeliverResponse(origin.m_job, origin.m_send, Verdict::kRan, "",
                    origin.m_job->m_arrival.m_number);
    return;
  }
  m_hand_on_targets.erase({origin.m_from_vm, origin.m_attempt});
  if (IsPartitioned(vm, origin.m_from_vm)) {
    return;
  }
  AttemptEnded end{origin.m_attempt, AttemptOutcome::kAnswered, {}, {}};
  const NameHash service =
      m_simulation.m_config->Get(origin.m_job->m_arrival.m_service).m_hash;
  end.m_slots = m_vms[vm].m_node->SlotsOf(service, m_simulation.m_queue.Now());
  Deliver(
      origin.m_from_vm, origin.m_from_generation,
      m_simulation.Latency(m_vms[vm].m_place, m_vms[origin.m_from_vm].m_place),
      end);
}

void ProductRun::Execute(size_t vm, const ReplayAnswer& action) {
  const Origin origin = m_origins.at({vm, action.m_request});
  m_origins.erase({vm, action.m_request});
  DeliverResponse(origin.m_job, origin.m_send, Verdict::kRan, "replayed",
                  origin.m_job->m_arrival.m_number);
}

void ProductRun::Execute(size_t vm, const ReplayPeerAnswer& action) {
  Execute(vm, ReplayAnswer{action.m_request, action.m_request});
}

void ProductRun::Execute(size_t vm, const RefuseCall& action) {
  const auto it = m_origins.find({vm, action.m_request});
  if (it == m_origins.end()) {
    return;
  }
  const Origin origin = it->second;
  m_origins.erase(it);
  AppendHistory(origin.m_job->m_arrival,
                m_vms[vm].m_name +
                    " refuses: " + DescribeRefusal(action.m_reason).m_name +
                    " " + VerdictName(action.m_verdict));
  if (!origin.m_handed_on) {
    DeliverResponse(origin.m_job, origin.m_send, action.m_verdict,
                    DescribeRefusal(action.m_reason).m_name, 0);
    return;
  }
  m_hand_on_targets.erase({origin.m_from_vm, origin.m_attempt});
  if (IsPartitioned(vm, origin.m_from_vm)) {
    return;
  }
  const bool not_run = action.m_verdict == Verdict::kNotRun;
  Deliver(
      origin.m_from_vm, origin.m_from_generation,
      m_simulation.Latency(m_vms[vm].m_place, m_vms[origin.m_from_vm].m_place),
      AttemptEnded{
          origin.m_attempt,
          not_run ? AttemptOutcome::kPeerRefused : AttemptOutcome::kPeerUnsure,
          action.m_slots, action.m_retry_after});
}

void ProductRun::Execute(size_t vm, const QueryKeyState& action) {
  const size_t to = VmAt(action.m_address);
  KeyState state = KeyState::kUnknown;
  Duration delay = milliseconds(300);
  const bool answers =
      to < m_vms.size() && m_vms[to].m_up && !IsPartitioned(vm, to) &&
      m_simulation.m_queue.Now() >= m_vms[to].m_paused_until &&
      m_vms[to].m_node->Identity().m_incarnation == action.m_incarnation;
  if (answers) {
    state = m_vms[to]
                .m_node
                ->AnswerKeyQuery(action.m_key, action.m_send,
                                 m_simulation.m_queue.Now())
                .m_state;
    delay = 2 * m_simulation.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  }
  AppendHistory(m_origins.at({vm, action.m_request}).m_job->m_arrival,
                m_vms[vm].m_name + " queries " + action.m_vm + ": state " +
                    std::to_string(static_cast<int>(state)));
  Deliver(vm, m_vms[vm].m_generation, delay,
          KeyStateReceived{action.m_request, action.m_vm, state});
}

void ProductRun::Execute(size_t vm, const SendGossip& action) {
  const size_t to = VmAt(action.m_address);
  if (to >= m_vms.size() || to == vm || !m_vms[to].m_up ||
      IsPartitioned(vm, to)) {
    return;
  }
  const Duration latency =
      m_simulation.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  Deliver(to, m_vms[to].m_generation, latency, GossipArrived{action.m_records});
  if (m_simulation.m_queue.Now() < m_vms[to].m_paused_until) {
    return;
  }
  Deliver(vm, m_vms[vm].m_generation, 2 * latency,
          GossipArrived{m_vms[to].m_node->AnswerGossip(
              action.m_records.front(), action.m_wants_all,
              m_simulation.m_queue.Now())});
}

void ProductRun::Execute(size_t vm, const SendSlotNotice& action) {
  const size_t to = VmAt(action.m_address);
  if (m_vms[to].m_up && !IsPartitioned(vm, to)) {
    Deliver(to, m_vms[to].m_generation,
            m_simulation.Latency(m_vms[vm].m_place, m_vms[to].m_place),
            SlotNoticeArrived{m_vms[vm].m_name, action.m_slots,
                              action.m_is_slot_request});
  }
}

void ProductRun::Execute(size_t vm, const FetchConfig& action) {
  const size_t from = VmAt(action.m_address);
  if (IsPartitioned(vm, from) || !m_vms[from].m_up) {
    return;
  }
  Deliver(vm, m_vms[vm].m_generation, milliseconds(50),
          SnapshotInstalled{m_vms[from].m_node->Config()});
}

void ProductRun::Execute(size_t vm, const RecordEvent& action) {
  const TimelineEvent& event = action.m_event;
  if (event.m_kind != TimelineKind::kRefused) {
    Trace(m_vms[vm].m_name + " " + TimelineKindName(event.m_kind) + " " +
          event.m_detail);
  }
}

void ProductRun::Execute(size_t vm, const ExitProcess&) {
  for (const auto& [key, origin] : m_origins) {
    if (key.first == vm && !origin.m_is_late) {
      m_simulation.Fail("a planned stop cut off a request");
    }
  }
  Kill(vm);
  m_simulation.m_queue.After(seconds(2), [this, vm] { Boot(vm); });
}

void ProductRun::CheckShiftCap(PlaceId place, const Origin& origin) {
  if (origin.m_job->m_arrival.m_home == place) {
    return;
  }
  const uint32_t cap = m_current->Get(place).m_shift_cap;
  if (!m_shifted[place.Get()].TryTake(cap, m_simulation.m_queue.Now())) {
    m_simulation.Fail("a place took more shifted requests than its cap");
  }
}

bool ProductRun::IsPartitioned(size_t a, size_t b) const {
  const size_t place_a = m_vms[a].m_place.Get();
  const size_t place_b = m_vms[b].m_place.Get();
  return m_partitions.contains(
      {std::min(place_a, place_b), std::max(place_a, place_b)});
}

bool ProductRun::IsUp(size_t vm, uint64_t generation) const {
  return m_vms[vm].m_up && m_vms[vm].m_generation == generation;
}

size_t ProductRun::VmAt(VmAddress address) const {
  return address.m_ip - 0x7F000001U;
}

RunResult RunProduct(const RunOptions& options) {
  return ProductRun(options).Run();
}

}  // namespace sorrelplank::trial
