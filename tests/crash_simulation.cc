/// @file crash_simulation.cc Links, servers and callers of the crash
/// simulation.

#include "tests/crash_simulation.h"

#include <algorithm>
#include <utility>

#include "tests/steering_fixture.h"

namespace sorrelplank {

namespace {

constexpr Duration kLink = milliseconds(1);
constexpr Duration kTick = milliseconds(20);
constexpr Duration kWork = milliseconds(100);
constexpr Duration kTimeToCrash = milliseconds(60);
constexpr Duration kDownTime = seconds(3);
constexpr Duration kEntryLapseTime = milliseconds(4500);
constexpr Duration kClientTimeout = seconds(3);
constexpr size_t kSlots = 4;
constexpr size_t kQueueLength = 12;
constexpr size_t kObjects = 30;
constexpr const char* kDomains[] = {"d1", "d2", "d3"};
constexpr const char* kRegions[] = {"r1", "r1", "r2"};

}  // namespace

struct CrashSimulation::Vm {
  std::unique_ptr<Steering> m_steering;
  std::map<RequestId, std::function<void(CrashSimulationOutcome)>> m_callers;
  std::map<RequestId, RequestDigest> m_digests;
  /// It exchanges no crash records with other VMs.
  bool m_is_cut_off = false;
};

/// A send at a server.
struct CrashSimulation::Work {
  uint64_t m_id = 0;
  size_t m_vm = 0;
  RequestId m_request;
  AttemptId m_attempt;
  RequestDigest m_digest;
  bool m_runs = false;
};

struct CrashSimulation::Server {
  size_t m_number = 0;
  std::string m_domain;
  /// Instance of the current run; empty while the server is down.
  std::string m_instance;
  uint64_t m_runs = 0;
  std::vector<Work> m_work;
};

CrashSimulation::CrashSimulation(size_t vms,
                                 size_t servers,
                                 uint32_t seed,
                                 Duration propagation_delay)
    : m_propagation_delay(propagation_delay), m_random(seed) {
  auto table = std::make_shared<RoutingTable>();
  table->m_version = 1;
  table->m_routes = {MakeRoute("/read/", true)};
  table->m_services["s"] = {.m_name = "s",
                            .m_max_connections = 400,
                            .m_cold_start = seconds(3),
                            .m_cold_per_second = 4};
  m_table = std::move(table);
  for (size_t vm = 0; vm < vms; ++vm) {
    const size_t domain = vm % std::size(kDomains);
    m_fleet.push_back(
        {"vm-" + std::to_string(vm), "", kDomains[domain], kRegions[domain]});
    m_vms.push_back(std::make_unique<Vm>());
  }
  for (size_t vm = 0; vm < vms; ++vm) {
    StartVm(vm);
  }
  for (size_t number = 0; number < servers; ++number) {
    m_servers.push_back(std::make_unique<Server>());
    m_servers.back()->m_number = number;
    m_servers.back()->m_domain = kDomains[number % std::size(kDomains)];
    StartServer(*m_servers.back());
  }
  RunFor(seconds(1));
}

CrashSimulation::~CrashSimulation() = default;

void CrashSimulation::StartVm(size_t vm) {
  SteeringSettings settings = MakeSettings();
  settings.m_vm = m_fleet[vm].m_vm;
  settings.m_failure_domain = m_fleet[vm].m_failure_domain;
  settings.m_region = m_fleet[vm].m_region;
  settings.m_retry_extra = 64;
  auto& steering = m_vms[vm]->m_steering;
  steering = std::make_unique<Steering>(
      settings, [this, vm](const SteerAction& action) { Take(vm, action); });
  steering->Install(m_table, m_queue.Now());
  steering->SetFleet(m_fleet, m_queue.Now());
}

void CrashSimulation::Restart(size_t vm) {
  m_vms[vm]->m_digests.clear();
  m_vms[vm]->m_callers.clear();
  StartVm(vm);
  Steering& steering = *m_vms[vm]->m_steering;
  for (const auto& server : m_servers) {
    if (!server->m_instance.empty()) {
      steering.PutServer(EntryOf(*server, Duration{}), m_queue.Now());
    }
  }
  for (const auto& [record, stored] : m_store) {
    CrashSighting sighting = stored.m_sighting;
    sighting.m_age = m_queue.Now() - stored.m_lost;
    steering.ApplyPeerCrash(record, sighting, m_queue.Now());
  }
}

void CrashSimulation::CutOffFromCrashRecords(size_t vm) {
  m_vms[vm]->m_is_cut_off = true;
}

void CrashSimulation::RunFor(Duration time) {
  const TimePoint end = m_queue.Now() + time;
  bool is_over = false;
  for (TimePoint tick = m_queue.Now(); tick < end; tick += kTick) {
    m_queue.At(tick, [this] {
      for (const auto& vm : m_vms) {
        vm->m_steering->Tick(m_queue.Now());
      }
    });
  }
  m_queue.At(end, [&is_over] { is_over = true; });
  while (!is_over && m_queue.RunOne()) {
  }
}

size_t CrashSimulation::RandomVm() {
  return m_random() % m_vms.size();
}

void CrashSimulation::MakeCrashing(const RequestDigest& digest) {
  m_crashing[digest];
}

bool CrashSimulation::Crashes(const RequestDigest& digest) const {
  return m_crashing.contains(digest);
}

void CrashSimulation::SendRequest(size_t vm,
                                  const RequestDigest& digest,
                                  uint64_t object) {
  const RequestId id(m_next++);
  m_vms[vm]->m_digests[id] = digest;
  m_vms[vm]->m_steering->Arrived(
      {id, "h", "/read/x", object, kClientTimeout, digest}, m_queue.Now());
}

size_t CrashSimulation::SendRepeatedly(const RequestDigest& digest,
                                       Duration interval,
                                       Duration time) {
  const auto answered = std::make_shared<size_t>(0);
  const TimePoint end = Now() + time;
  while (Now() < end) {
    const size_t vm = RandomVm();
    m_vms[vm]->m_callers[RequestId(m_next)] =
        [answered](CrashSimulationOutcome outcome) {
          *answered += outcome == CrashSimulationOutcome::kAnswered ? 1 : 0;
        };
    SendRequest(vm, digest, m_random());
    RunFor(interval);
  }
  return *answered;
}

void CrashSimulation::StartNormalRequests(int per_second) {
  m_queue.After(Duration{seconds(1)} / per_second,
                [this, per_second] { SendNormalRequest(per_second); });
}

void CrashSimulation::SendNormalRequest(int per_second) {
  ++m_normal.m_sent;
  SendNormalAttempt({.m_high = 1, .m_low = m_next}, m_random() % kObjects, 1);
  StartNormalRequests(per_second);
}

void CrashSimulation::SendNormalAttempt(const RequestDigest& digest,
                                        uint64_t object,
                                        int retries) {
  const size_t vm = RandomVm();
  const RequestId id(m_next);
  m_vms[vm]->m_callers[id] = [this, digest, object,
                              retries](CrashSimulationOutcome end) {
    if (end != CrashSimulationOutcome::kAnswered && retries > 0) {
      m_queue.After(kTimeToCrash, [this, digest, object, retries] {
        SendNormalAttempt(digest, object, retries - 1);
      });
      return;
    }
    m_normal.m_answered += end == CrashSimulationOutcome::kAnswered ? 1 : 0;
    m_normal.m_refused += end == CrashSimulationOutcome::kRefused ? 1 : 0;
    m_normal.m_failed += end == CrashSimulationOutcome::kFailed ? 1 : 0;
  };
  SendRequest(vm, digest, object);
}

void CrashSimulation::Take(size_t vm, const SteerAction& action) {
  if (const auto* send = std::get_if<SendToServer>(&action)) {
    Send(vm, *send);
  } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
    Cancel(vm, *cancel);
  } else if (const auto* answer = std::get_if<ForwardServerAnswer>(&action)) {
    Finish(vm, answer->m_request, CrashSimulationOutcome::kAnswered);
  } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
    const bool is_not_run =
        DescribeSteerRefusal(refusal->m_reason).m_verdict == Verdict::kNotRun;
    Finish(vm, refusal->m_request,
           is_not_run ? CrashSimulationOutcome::kRefused
                      : CrashSimulationOutcome::kFailed);
  } else if (const auto* check = std::get_if<CheckServerReachable>(&action)) {
    Check(vm, *check);
  } else if (const auto* probe = std::get_if<ProbeServerReach>(&action)) {
    Probe(vm, *probe);
  } else if (const auto* suspected = std::get_if<RequestSuspected>(&action)) {
    ++m_suspected;
    PublishCrash(vm, suspected->m_report);
  } else if (std::holds_alternative<RequestHeld>(action)) {
    ++m_held_back;
  } else if (const auto* dropped = std::get_if<CrashesDropped>(&action)) {
    for (const CrashRecord& record : dropped->m_records) {
      DropCrash(vm, record);
    }
  }
}

void CrashSimulation::Check(size_t vm, const CheckServerReachable& action) {
  m_queue.After(2 * kLink, [this, vm, instance = action.m_instance] {
    const bool is_up = std::any_of(
        m_servers.begin(), m_servers.end(),
        [&](const auto& one) { return one->m_instance == instance; });
    m_vms[vm]->m_steering->ServerChecked(instance,
                                         is_up
                                             ? ServerReach::kAcceptsConnections
                                             : ServerReach::kRefusesConnections,
                                         m_queue.Now());
  });
}

void CrashSimulation::Probe(size_t vm, const ProbeServerReach& action) {
  m_queue.After(2 * kLink, [this, vm, instance = action.m_instance] {
    const bool is_up = std::any_of(
        m_servers.begin(), m_servers.end(),
        [&](const auto& one) { return one->m_instance == instance; });
    m_vms[vm]->m_steering->ReachProbed(is_up, m_queue.Now());
  });
}

void CrashSimulation::PublishCrash(size_t vm, const CrashReport& report) {
  if (m_vms[vm]->m_is_cut_off) {
    return;
  }
  StoredCrash stored{m_queue.Now() - report.m_sighting.m_age,
                     report.m_sighting};
  stored.m_sighting.m_observer = m_fleet[vm].m_vm;
  m_queue.After(m_propagation_delay, [this, record = report.m_record, stored] {
    m_store[record] = stored;
    CrashSighting sighting = stored.m_sighting;
    sighting.m_age = m_queue.Now() - stored.m_lost;
    for (const auto& other : m_vms) {
      if (!other->m_is_cut_off) {
        other->m_steering->ApplyPeerCrash(record, sighting, m_queue.Now());
      }
    }
  });
}

void CrashSimulation::DropCrash(size_t vm, const CrashRecord& record) {
  if (m_vms[vm]->m_is_cut_off) {
    return;
  }
  m_queue.After(m_propagation_delay, [this, record] {
    m_store.erase(record);
    for (const auto& other : m_vms) {
      if (!other->m_is_cut_off) {
        other->m_steering->DropCrash(record, m_queue.Now());
      }
    }
  });
}

void CrashSimulation::Finish(size_t vm,
                             RequestId request,
                             CrashSimulationOutcome end) {
  m_vms[vm]->m_digests.erase(request);
  const auto caller = m_vms[vm]->m_callers.find(request);
  if (caller == m_vms[vm]->m_callers.end()) {
    return;
  }
  const auto callback = std::move(caller->second);
  m_vms[vm]->m_callers.erase(caller);
  callback(end);
}

void CrashSimulation::Send(size_t vm, const SendToServer& action) {
  m_queue.After(kLink, [this, vm, action] { Deliver(vm, action); });
}

void CrashSimulation::Deliver(size_t vm, const SendToServer& action) {
  const auto digest = m_vms[vm]->m_digests.find(action.m_request);
  if (digest == m_vms[vm]->m_digests.end()) {
    return;
  }
  const Work work{m_next++,       vm,   action.m_request, action.m_attempt,
                  digest->second, false};
  const auto found = std::find_if(
      m_servers.begin(), m_servers.end(),
      [&](const auto& one) { return one->m_instance == action.m_instance; });
  if (found == m_servers.end()) {
    Reply(work, AttemptEnd::kNotSent);
    return;
  }
  Server& server = **found;
  if (Crashes(work.m_digest)) {
    m_crashing[work.m_digest].m_arrival_times.push_back(m_queue.Now());
  }
  if (server.m_work.size() >= kSlots + kQueueLength) {
    Reply(work, AttemptEnd::kRejected);
    return;
  }
  server.m_work.push_back(work);
  RunQueued(server);
}

void CrashSimulation::RunQueued(Server& server) {
  auto running = std::count_if(server.m_work.begin(), server.m_work.end(),
                               [](const Work& work) { return work.m_runs; });
  for (Work& work : server.m_work) {
    if (running == static_cast<ptrdiff_t>(kSlots)) {
      return;
    }
    if (work.m_runs) {
      continue;
    }
    work.m_runs = true;
    ++running;
    const Duration time = Crashes(work.m_digest) ? kTimeToCrash : kWork;
    m_queue.After(time,
                  [this, &server, id = work.m_id] { FinishWork(server, id); });
  }
}

void CrashSimulation::FinishWork(Server& server, uint64_t id) {
  const auto it =
      std::find_if(server.m_work.begin(), server.m_work.end(),
                   [id](const Work& work) { return work.m_id == id; });
  if (it == server.m_work.end()) {
    return;
  }
  const Work work = *it;
  if (Crashes(work.m_digest)) {
    m_crashing[work.m_digest].m_crash_times.push_back(m_queue.Now());
    Crash(server.m_number);
    return;
  }
  server.m_work.erase(it);
  Reply(work, AttemptEnd::kAnswered);
  RunQueued(server);
}

void CrashSimulation::Reply(const Work& work, AttemptEnd end) {
  m_queue.After(kLink, [this, work, end] {
    AttemptReport report;
    report.m_end = end;
    report.m_latency = kWork;
    m_vms[work.m_vm]->m_steering->Ended(work.m_request, work.m_attempt, report,
                                        m_queue.Now());
  });
}

void CrashSimulation::Cancel(size_t vm, const CancelSend& action) {
  m_queue.After(kLink, [this, vm, attempt = action.m_attempt] {
    for (const auto& server : m_servers) {
      std::erase_if(server->m_work, [&](const Work& work) {
        return work.m_vm == vm && work.m_attempt == attempt;
      });
      RunQueued(*server);
    }
  });
}

void CrashSimulation::LoseAll(Server& server) {
  const std::vector<Work> lost = std::exchange(server.m_work, {});
  for (const Work& work : lost) {
    Reply(work, AttemptEnd::kLost);
  }
}

void CrashSimulation::ResetConnections(size_t server) {
  LoseAll(*m_servers[server]);
}

void CrashSimulation::Crash(size_t number) {
  Server& server = *m_servers[number];
  LoseAll(server);
  const std::string instance = std::exchange(server.m_instance, "");
  m_queue.After(kDownTime, [this, &server] { StartServer(server); });
  m_queue.After(kEntryLapseTime, [this, instance] {
    for (const auto& vm : m_vms) {
      vm->m_steering->RemoveServer(instance, m_queue.Now());
    }
  });
}

void CrashSimulation::CrashDomain(const std::string& domain) {
  for (const auto& server : m_servers) {
    if (server->m_domain == domain && !server->m_instance.empty()) {
      Crash(server->m_number);
    }
  }
}

void CrashSimulation::StartServer(Server& server) {
  if (!server.m_instance.empty()) {
    return;
  }
  server.m_instance = "i-" + std::to_string(server.m_number) + "-" +
                      std::to_string(server.m_runs++);
  const bool is_first = server.m_runs == 1;
  const ServerEntry entry =
      EntryOf(server, is_first ? Duration{} : Duration{seconds(3)});
  m_queue.After(is_first ? Duration{} : m_propagation_delay, [this, entry] {
    for (const auto& vm : m_vms) {
      vm->m_steering->PutServer(entry, m_queue.Now());
    }
  });
}

ServerEntry CrashSimulation::EntryOf(const Server& server,
                                     Duration cold_left) const {
  return {
      server.m_instance, "s",    {static_cast<uint32_t>(server.m_number), 80},
      server.m_domain,   kSlots, false,
      cold_left};
}

size_t CrashSimulation::CrashedRuns(const RequestDigest& digest) const {
  return m_crashing.at(digest).m_crash_times.size();
}

size_t CrashSimulation::ArrivalsAfterThirdCrash(const RequestDigest& digest,
                                                Duration later_than) const {
  const History& history = m_crashing.at(digest);
  if (history.m_crash_times.size() < 3) {
    return 0;
  }
  const TimePoint since = history.m_crash_times[2] + later_than;
  return static_cast<size_t>(std::count_if(
      history.m_arrival_times.begin(), history.m_arrival_times.end(),
      [since](TimePoint time) { return time > since; }));
}

}  // namespace sorrelplank
