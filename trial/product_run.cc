/// @file product_run.cc Nodes, messages and backend servers.

#include "trial/product_run.h"

#include <algorithm>
#include <utility>

#include "core/invariant_func.h"
#include "core/timing_type.h"

namespace sorrelplank::trial {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr Duration kToBackend = microseconds(100);
constexpr int kVmsPerPlace = 2;

}  // namespace

ProductRun::ProductRun(const RunOptions& options)
    : m_world(options), m_current(m_world.m_config) {
  m_shifted.resize(m_world.m_config->m_places.size());
  for (size_t place = 0; place < m_shifted.size(); ++place) {
    for (int number = 0; number < kVmsPerPlace; ++number) {
      const auto at = static_cast<uint32_t>(m_vms.size());
      m_vms.push_back({m_world.m_config->m_places[place].m_name + "-vm" +
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
    // Long enough for every entry VM to hold its backend servers.
    const TimePoint ready = m_world.m_queue.Now() + seconds(8);
    while (m_world.m_queue.Now() < ready) {
      m_world.m_queue.RunOne();
    }
    m_world.StartSampling();
    ScheduleFaults();
    m_world.StartArrivals([this](const Arrival& a) { Begin(a); });
    while (!m_world.m_arrivals_over && m_world.m_result.m_violation.empty()) {
      m_world.m_queue.RunOne();
    }
    const TimePoint over = m_world.m_queue.Now() + seconds(15);
    while (m_world.m_queue.Now() < over &&
           m_world.m_result.m_violation.empty()) {
      m_world.m_queue.RunOne();
    }
    const RunResult& result = m_world.m_result;
    if (result.m_violation.empty() &&
        result.m_answered + result.m_not_run + result.m_may_have_run !=
            result.m_sent) {
      m_world.Fail("a request got no final answer");
    }
  } catch (const InvariantError& error) {
    m_world.Fail(error.what());
  }
  m_world.m_result.m_trace.assign(m_trace.begin(), m_trace.end());
  return std::move(m_world.m_result);
}

void ProductRun::Boot(size_t vm) {
  FakeVm& self = m_vms[vm];
  self.m_up = true;
  ++self.m_life;
  self.m_paused_until = {};
  const uint64_t incarnation = self.m_life;
  self.m_node = std::make_unique<Node>(
      NodeIdentity{self.m_name, m_world.m_config->Get(self.m_place).m_hash,
                   self.m_address, 8080, Incarnation(incarnation),
                   m_world.m_options.m_seed * 1000 + vm * 100 + incarnation},
      m_world.m_options.m_safeguards, m_world.m_queue.Now());
  SeedsLearned seeds;
  for (const FakeVm& other : m_vms) {
    seeds.m_seeds.push_back(other.m_address);
  }
  Feed(vm, seeds);
  Feed(vm, SnapshotInstalled{m_current});
  Tick(vm, self.m_life);
}

void ProductRun::Kill(size_t vm) {
  FakeVm& self = m_vms[vm];
  self.m_up = false;
  self.m_node.reset();
  // Its connections close: backend servers cancel, callers and peers notice.
  std::vector<RunningPtr> runs;
  for (const auto& [key, running] : m_running) {
    if (key.first == vm) {
      runs.push_back(running);
    }
  }
  for (const RunningPtr& running : runs) {
    m_world.m_queue.After(kToBackend, [this, running] {
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
      m_handed.erase({origin.m_from_vm, origin.m_attempt});
      Deliver(
          origin.m_from_vm, origin.m_from_life, milliseconds(1),
          AttemptEnded{origin.m_attempt, AttemptOutcome::kPeerLost, {}, {}});
    } else {
      m_world.m_queue.After(m_world.ClientLatency(), [this, origin] {
        SendLost(origin.m_job, origin.m_send);
      });
    }
  }
}

void ProductRun::Feed(size_t vm, const Event& event) {
  Actions actions;
  m_vms[vm].m_node->Handle(event, m_world.m_queue.Now(), actions);
  const uint64_t life = m_vms[vm].m_life;
  for (const Action& action : actions) {
    if (!IsUp(vm, life)) {
      return;
    }
    std::visit([&](const auto& specific) { Do(vm, specific); }, action);
  }
}

void ProductRun::Deliver(size_t vm,
                         uint64_t life,
                         Duration delay,
                         Event event) {
  m_world.m_queue.After(delay, [this, vm, life, event = std::move(event)] {
    if (!IsUp(vm, life)) {
      return;
    }
    if (m_world.m_queue.Now() < m_vms[vm].m_paused_until) {
      Deliver(vm, life, m_vms[vm].m_paused_until - m_world.m_queue.Now(),
              event);
      return;
    }
    Feed(vm, event);
  });
}

void ProductRun::Tick(size_t vm, uint64_t life) {
  m_world.m_queue.After(kTick, [this, vm, life] {
    if (!IsUp(vm, life)) {
      return;
    }
    if (m_world.m_queue.Now() >= m_vms[vm].m_paused_until) {
      Feed(vm, sorrelplank::Tick{});
    }
    if (IsUp(vm, life)) {
      Tick(vm, life);
    }
  });
}

void ProductRun::Do(size_t vm, const DispatchToBackend& action) {
  const auto id = m_world.m_config->FindBackend(action.m_backend);
  auto running = std::make_shared<Running>(
      Running{vm, m_vms[vm].m_life, action.m_attempt, id->Get(), false});
  const auto left = m_leaving.find(id->Get());
  if (left != m_leaving.end() &&
      m_world.m_queue.Now() - left->second > seconds(3)) {
    m_world.Fail("a leaving backend server got new work after 3 s");
    Trace(m_vms[vm].m_name + " dispatched with version " +
          std::to_string(m_vms[vm].m_node->Config()->m_version.Get()) + " to " +
          m_world.m_config->Get(*id).m_name + ", leaving since " +
          std::to_string(ToMilliseconds(left->second.time_since_epoch())));
  }
  const Origin origin = m_origins.at({vm, action.m_request});
  m_running[{vm, action.m_attempt}] = running;
  CheckShiftCap(m_world.m_backends[id->Get()].m_place, origin);
  m_world.m_queue.After(kToBackend,
                        [this, running, origin, left = action.m_time_left] {
                          StartRun(running, origin, left);
                        });
}

void ProductRun::StartRun(const RunningPtr& running,
                          const Origin& origin,
                          Duration time_left) {
  FakeBackend& backend = m_world.m_backends[running->m_backend];
  if (running->m_is_over || backend.m_down) {
    m_running.erase({running->m_vm, running->m_attempt});
    if (backend.m_down && !running->m_is_over) {
      Deliver(running->m_vm, running->m_life, kToBackend,
              AttemptEnded{
                  running->m_attempt, AttemptOutcome::kConnectFailed, {}, {}});
    }
    return;
  }
  if (backend.m_in_flight >= backend.m_slots) {
    m_world.Fail("a backend server was pushed past its slots");
    Trace(m_vms[running->m_vm].m_name + " dispatched to " +
          m_world.m_config->Get(backend.m_id).m_name);
    for (const auto& [key, other] : m_running) {
      if (other->m_backend == running->m_backend) {
        Trace("  in flight for " + m_vms[other->m_vm].m_name);
      }
    }
    return;
  }
  ++backend.m_in_flight;
  ++m_world.m_result.m_runs;
  const Arrival& arrival = origin.m_job->m_arrival;
  const bool idempotent = m_world.m_config->Get(arrival.m_service).m_idempotent;
  if (++m_runs[arrival.m_number] > 1 && !idempotent) {
    FailWithStory(arrival, "a non-idempotent request ran twice");
  }
  const Duration run = m_world.RunTime(arrival.m_service);
  const bool ends_in_time = run <= time_left;
  m_world.m_queue.After(
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
  FakeBackend& backend = m_world.m_backends[running->m_backend];
  backend.m_in_flight -= backend.m_in_flight > 0 ? 1 : 0;
  if (outcome != AttemptOutcome::kAnswered) {
    ++m_world.m_result.m_wasted_runs;
    return;
  }
  const auto left = m_leaving.find(running->m_backend);
  if (left != m_leaving.end()) {
    m_world.m_result.m_longest_drain =
        std::max(m_world.m_result.m_longest_drain,
                 Duration(m_world.m_queue.Now() - left->second));
  }
  Deliver(running->m_vm, running->m_life, kToBackend,
          AttemptEnded{running->m_attempt, outcome, {}, {}});
}

void ProductRun::Do(size_t vm, const HandOnToVm& action) {
  ++m_world.m_result.m_hand_ons;
  const size_t to = VmAt(action.m_address);
  const Origin from = m_origins.at({vm, action.m_request});
  const Duration latency =
      m_world.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  Tell(from.m_job->m_arrival, m_vms[vm].m_name + " hands it on to " +
                                  m_vms[to].m_name +
                                  (IsCut(vm, to) ? ", lost" : ""));
  if (IsCut(vm, to)) {
    return;  // Lost on the way; the sender's deadline ends it.
  }
  if (!m_vms[to].m_up) {
    Deliver(vm, m_vms[vm].m_life, latency * 2,
            AttemptEnded{
                action.m_attempt, AttemptOutcome::kPeerUnreachable, {}, {}});
    return;
  }
  const RequestId request(m_next_request++);
  m_handed[{vm, action.m_attempt}] = {to, request};
  Origin origin{from.m_job,       from.m_send,      vm,
                m_vms[vm].m_life, action.m_attempt, true};
  IncomingCall call;
  call.m_request = request;
  call.m_service =
      m_world.m_config->Get(from.m_job->m_arrival.m_service).m_hash;
  call.m_caller_ip = from.m_job->m_arrival.m_client_ip;
  call.m_home_place = action.m_home_place;
  call.m_handed_on = true;
  call.m_from = m_vms[vm].m_name;
  call.m_time_left = action.m_time_left - latency;
  m_origins[{to, request}] = origin;
  Deliver(to, m_vms[to].m_life, latency, CallArrived{call});
}

void ProductRun::Do(size_t vm, const CancelAttempt& action) {
  const auto running = m_running.find({vm, action.m_attempt});
  if (running != m_running.end()) {
    m_world.m_queue.After(kToBackend, [this, run = running->second] {
      EndRun(run, AttemptOutcome::kCancelledAfterSend);
    });
  }
  const auto handed = m_handed.find({vm, action.m_attempt});
  if (handed != m_handed.end()) {
    const auto [to, request] = handed->second;
    if (m_vms[to].m_up && !IsCut(vm, to)) {
      Deliver(to, m_vms[to].m_life,
              m_world.Latency(m_vms[vm].m_place, m_vms[to].m_place),
              CallerLeft{request});
    }
    m_handed.erase(handed);
  }
}

void ProductRun::Do(size_t vm, const ForwardAnswer& action) {
  const auto it = m_origins.find({vm, action.m_request});
  const Origin origin = it->second;
  m_origins.erase(it);
  if (!origin.m_handed_on) {
    Answer(origin.m_job, origin.m_send, Verdict::kRan, "",
           origin.m_job->m_arrival.m_number);
    return;
  }
  m_handed.erase({origin.m_from_vm, origin.m_attempt});
  if (IsCut(vm, origin.m_from_vm)) {
    return;
  }
  AttemptEnded end{origin.m_attempt, AttemptOutcome::kAnswered, {}, {}};
  const NameHash service =
      m_world.m_config->Get(origin.m_job->m_arrival.m_service).m_hash;
  end.m_slots = m_vms[vm].m_node->SlotsOf(service, m_world.m_queue.Now());
  Deliver(origin.m_from_vm, origin.m_from_life,
          m_world.Latency(m_vms[vm].m_place, m_vms[origin.m_from_vm].m_place),
          end);
}

void ProductRun::Do(size_t vm, const ReplayAnswer& action) {
  const Origin origin = m_origins.at({vm, action.m_request});
  m_origins.erase({vm, action.m_request});
  Answer(origin.m_job, origin.m_send, Verdict::kRan, "replayed",
         origin.m_job->m_arrival.m_number);
}

void ProductRun::Do(size_t vm, const ReplayPeerAnswer& action) {
  Do(vm, ReplayAnswer{action.m_request, action.m_request});
}

void ProductRun::Do(size_t vm, const RefuseCall& action) {
  const auto it = m_origins.find({vm, action.m_request});
  if (it == m_origins.end()) {
    return;
  }
  const Origin origin = it->second;
  m_origins.erase(it);
  Tell(origin.m_job->m_arrival, m_vms[vm].m_name + " refuses: " +
                                    DescribeRefusal(action.m_reason).m_name +
                                    " " + VerdictName(action.m_verdict));
  if (!origin.m_handed_on) {
    Answer(origin.m_job, origin.m_send, action.m_verdict,
           DescribeRefusal(action.m_reason).m_name, 0);
    return;
  }
  m_handed.erase({origin.m_from_vm, origin.m_attempt});
  if (IsCut(vm, origin.m_from_vm)) {
    return;
  }
  const bool not_run = action.m_verdict == Verdict::kNotRun;
  Deliver(origin.m_from_vm, origin.m_from_life,
          m_world.Latency(m_vms[vm].m_place, m_vms[origin.m_from_vm].m_place),
          AttemptEnded{origin.m_attempt,
                       not_run ? AttemptOutcome::kPeerRefused
                               : AttemptOutcome::kPeerUnsure,
                       action.m_slots, action.m_retry_after});
}

void ProductRun::Do(size_t vm, const QueryKeyState& action) {
  const size_t to = VmAt(action.m_address);
  KeyState state = KeyState::kUnknown;
  Duration delay = milliseconds(300);
  const bool answers =
      to < m_vms.size() && m_vms[to].m_up && !IsCut(vm, to) &&
      m_world.m_queue.Now() >= m_vms[to].m_paused_until &&
      m_vms[to].m_node->Identity().m_incarnation == action.m_incarnation;
  if (answers) {
    state =
        m_vms[to]
            .m_node
            ->AnswerKeyQuery(action.m_key, action.m_send, m_world.m_queue.Now())
            .m_state;
    delay = 2 * m_world.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  }
  Tell(m_origins.at({vm, action.m_request}).m_job->m_arrival,
       m_vms[vm].m_name + " asks " + action.m_vm + ": state " +
           std::to_string(static_cast<int>(state)));
  Deliver(vm, m_vms[vm].m_life, delay,
          KeyStateReceived{action.m_request, action.m_vm, state});
}

void ProductRun::Do(size_t vm, const SendGossip& action) {
  const size_t to = VmAt(action.m_address);
  if (to >= m_vms.size() || to == vm || !m_vms[to].m_up || IsCut(vm, to)) {
    return;
  }
  const Duration latency =
      m_world.Latency(m_vms[vm].m_place, m_vms[to].m_place);
  Deliver(to, m_vms[to].m_life, latency, GossipArrived{action.m_records});
  if (m_world.m_queue.Now() < m_vms[to].m_paused_until) {
    return;
  }
  Deliver(vm, m_vms[vm].m_life, 2 * latency,
          GossipArrived{m_vms[to].m_node->AnswerGossip(action.m_records.front(),
                                                       action.m_wants_all,
                                                       m_world.m_queue.Now())});
}

void ProductRun::Do(size_t vm, const SendSlotNotice& action) {
  const size_t to = VmAt(action.m_address);
  if (m_vms[to].m_up && !IsCut(vm, to)) {
    Deliver(to, m_vms[to].m_life,
            m_world.Latency(m_vms[vm].m_place, m_vms[to].m_place),
            SlotNoticeArrived{m_vms[vm].m_name, action.m_slots,
                              action.m_is_slot_request});
  }
}

void ProductRun::Do(size_t vm, const FetchConfig& action) {
  const size_t from = VmAt(action.m_address);
  if (IsCut(vm, from) || !m_vms[from].m_up) {
    return;
  }
  Deliver(vm, m_vms[vm].m_life, milliseconds(50),
          SnapshotInstalled{m_vms[from].m_node->Config()});
}

void ProductRun::Do(size_t vm, const RecordEvent& action) {
  const TimelineEvent& event = action.m_event;
  if (event.m_kind != TimelineKind::kRefused) {
    Trace(m_vms[vm].m_name + " " + TimelineKindName(event.m_kind) + " " +
          event.m_detail);
  }
}

void ProductRun::Do(size_t vm, const ExitProcess&) {
  for (const auto& [key, origin] : m_origins) {
    if (key.first == vm && !origin.m_is_late) {
      m_world.Fail("a planned stop cut off a request");
    }
  }
  Kill(vm);
  m_world.m_queue.After(seconds(2), [this, vm] { Boot(vm); });
}

void ProductRun::CheckShiftCap(PlaceId place, const Origin& origin) {
  if (origin.m_job->m_arrival.m_home == place) {
    return;
  }
  const uint32_t cap = m_current->Get(place).m_shift_cap;
  if (!m_shifted[place.Get()].TryTake(cap, m_world.m_queue.Now())) {
    m_world.Fail("a place took more shifted requests than its cap");
  }
}

bool ProductRun::IsCut(size_t a, size_t b) const {
  const size_t place_a = m_vms[a].m_place.Get();
  const size_t place_b = m_vms[b].m_place.Get();
  return m_cuts.contains(
      {std::min(place_a, place_b), std::max(place_a, place_b)});
}

bool ProductRun::IsUp(size_t vm, uint64_t life) const {
  return m_vms[vm].m_up && m_vms[vm].m_life == life;
}

size_t ProductRun::VmAt(VmAddress address) const {
  return address.m_ip - 0x7F000001U;
}

RunResult RunProduct(const RunOptions& options) {
  return ProductRun(options).Run();
}

}  // namespace sorrelplank::trial
