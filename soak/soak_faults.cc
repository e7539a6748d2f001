/// @file soak_faults.cc Planned operations and faults of the environment.

#include <algorithm>
#include <csignal>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "platform/wire_names.h"
#include "serve/clock_func.h"
#include "soak/soak_environment.h"
#include "soak/soak_keys.h"

namespace sorrelplank::soak {

namespace {

/// A uniformly distributed random time between two bounds, inclusive.
Duration RandomDuration(SoakEnvironment::Random& random,
                        Duration min_time,
                        Duration max_time) {
  std::uniform_int_distribution<int64_t> distribution(min_time.count(),
                                                      max_time.count());
  return Duration(distribution(random));
}

/// A draining server serves this long after its store entry says so.
constexpr Duration kDrainTime = seconds(4);
/// The entry of a crashed server is removed after this time: three missed
/// heartbeats.
constexpr Duration kEntryLifetime = milliseconds(4500);
/// The entry of a VM that ended is removed within this time.
constexpr Duration kVmEntryExpiry = milliseconds(4500);
/// How long the store does not answer a VM beside which another one joins.
constexpr Duration kJoinCutTime = seconds(6);
/// A running server writes its entry again within this time.
constexpr Duration kHeartbeat = milliseconds(1500);
/// A server that a request crashed, or that announced its leaving, restarts
/// this long after its end.
constexpr Duration kRestartDelay = seconds(3);
/// Requests that were passed on end within this time after servers are back.
constexpr Duration kRequestEndTime = seconds(4);
/// Time within which the VMs learn of a change while nothing is disturbed.
constexpr Duration kTimeToLearn = milliseconds(800);
/// How often servers write their entries shortly before the store is restored.
constexpr int kHeartbeatsBeforeRestore = 3;
/// Requests sent this long before a check may still be unanswered.
constexpr Duration kAnswerTime = milliseconds(500);
/// How often a crashing request is sent.
constexpr int kCrashingAttempts = 16;
/// What a server sends over and over instead of a response; the first means a
/// body.
constexpr const char* kOtherResponse =
    "HTTP/1.1 200 OK\r\nsorrelplank-request-id: other\r\ncontent-length: "
    "2\r\n\r\nab";
constexpr const char* kUnlabelledChunks =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n";
constexpr const char* kEndlessUnits[] = {"",
                                         "HTTP/1.1 100 Continue\r\n\r\n",
                                         kOtherResponse,
                                         kUnlabelledChunks,
                                         "a: b\r\n",
                                         "abcdefgh"};
/// Time after which all VMs know of an entry and of its successor, also VMs
/// that were cut off from the store.
constexpr Duration kEntryPropagationTime = seconds(8);

}  // namespace

void SoakEnvironment::StopVm(Random& random) {
  Vm& vm = RandomVm(random);
  const bool is_running = vm.m_child->IsRunning() && !vm.m_is_exit_expected;
  if (!is_running || vm.m_is_paused) {
    return;
  }
  vm.m_is_exit_expected = true;
  vm.m_stop_time = SteadyNow();
  vm.m_child->Signal(SIGTERM);
}

void SoakEnvironment::DrainServer(Random& random) {
  SoakServer& server = RandomServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  PutServerEntry(server, "draining");
  m_leaving[instance] = SteadyNow();
  ScheduleAfter(kDrainTime, [this, &server, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
    if (server.Instance() == instance) {
      RestartServer(server, server.Spec().m_service);
    }
  });
}

void SoakEnvironment::ChangeConfig(Random&) {
  PutConfig();
}

void SoakEnvironment::EvacuateDomain(Random& random) {
  const std::string domain = random() % 2 == 0 ? "d1" : "d2";
  if (!m_evacuated.empty()) {
    return;
  }
  m_store.PutText(platform::kEvacuationPrefix + domain, "{}");
  m_evacuated[domain] = SteadyNow();
  ScheduleAfter(RandomDuration(random, seconds(3), seconds(6)), [this, domain] {
    m_store.RemoveKey(platform::kEvacuationPrefix + domain);
    m_evacuated.erase(domain);
  });
}

void SoakEnvironment::ReloadSettings(Random& random) {
  Vm& vm = RandomVm(random);
  ++vm.m_settings_number;
  WriteSettings(vm);
  vm.m_child->Signal(SIGHUP);
}

void SoakEnvironment::EndVm(Vm& vm) {
  vm.m_is_exit_expected = true;
  vm.m_is_paused = false;
  vm.m_stop_time = TimePoint::max();
  vm.m_child->Signal(SIGKILL);
}

void SoakEnvironment::KillVm(Random& random) {
  Vm& vm = RandomVm(random);
  MarkUnstable(vm, seconds(1));
  EndVm(vm);
}

void SoakEnvironment::KillAllVms(Random&) {
  for (Vm& vm : m_vms) {
    EndVm(vm);
  }
  MarkAllUnstable(seconds(1));
}

void SoakEnvironment::PauseVm(Random& random) {
  Vm& vm = RandomVm(random);
  if (vm.m_is_exit_expected || vm.m_is_paused) {
    return;
  }
  const Duration time = RandomDuration(random, milliseconds(300), seconds(5));
  vm.m_is_paused = true;
  vm.m_paused_until = SteadyNow() + time;
  MarkUnstable(vm, time);
  vm.m_child->Signal(SIGSTOP);
  ScheduleAfter(time, [&vm] {
    vm.m_child->Signal(SIGCONT);
    vm.m_is_paused = false;
  });
}

void SoakEnvironment::CrashServer(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp()) {
    return;
  }
  MarkAllUnstable(seconds(1));
  TakeServerDown(server, RandomDuration(random, milliseconds(500), seconds(6)));
}

void SoakEnvironment::SetTemporaryNotice(SoakServer& server,
                                         const ServerNotice& notice,
                                         Duration time) {
  server.SetNotice(notice);
  ScheduleAfter(time, [&server, generation = server.Generation()] {
    if (server.Generation() == generation) {
      server.SetNotice({});
    }
  });
}

void SoakEnvironment::NameLimit(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp() || server.CurrentNotice().m_is_leaving) {
    return;
  }
  ServerNotice notice;
  notice.m_max_per_second = 1.5 + static_cast<double>(random() % 20) / 2;
  SetTemporaryNotice(server, notice,
                     RandomDuration(random, seconds(2), seconds(15)));
}

void SoakEnvironment::SayLeaving(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp()) {
    return;
  }
  ServerNotice notice;
  notice.m_is_leaving = true;
  server.SetNotice(notice);
  ScheduleAfter(RandomDuration(random, seconds(3), seconds(8)),
                [this, &server, generation = server.Generation()] {
                  if (server.Generation() == generation) {
                    MarkAllUnstable(seconds(1));
                    TakeServerDown(server, kRestartDelay);
                  }
                });
}

void SoakEnvironment::AskForPause(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp() || server.CurrentNotice().m_is_leaving) {
    return;
  }
  ServerNotice notice;
  notice.m_pause = RandomDuration(random, milliseconds(300), seconds(4));
  SetTemporaryNotice(server, notice,
                     RandomDuration(random, seconds(1), seconds(5)));
}

void SoakEnvironment::TakeServerDown(SoakServer& server, Duration down) {
  const std::string instance = server.Instance();
  server.Crash();
  ScheduleAfter(kEntryLifetime, [this, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
  });
  ScheduleAfter(down, [this, &server, instance] {
    if (!server.IsUp() && server.Instance() == instance) {
      RestartServer(server, server.Spec().m_service);
    }
  });
}

void SoakEnvironment::RepeatCrashingRequest(Random& random) {
  const std::string path = "/read/crash" + std::to_string(++m_crashing_paths);
  SendCrashingRequest(path, 1, random());
}

void SoakEnvironment::SendCrashingRequest(const std::string& path,
                                          int attempt,
                                          uint64_t seed) {
  Random random(seed);
  const Vm& vm = RandomVm(random);
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string id = path.substr(1) + "-" + std::to_string(attempt);
  m_ledger.RecordSent(id, {.m_vm = vm.m_name,
                           .m_path = path,
                           .m_body = "",
                           .m_organisation = kUnlimitedOrganisation});
  m_crashing.OnAttemptStart(id, path, {vm.m_name, vm.m_starts});
  HttpFetch fetch;
  fetch.m_url = "http://" + CallerAddress(vm) + path;
  fetch.m_headers = {
      {"Host", "soak.example"},
      {names.m_request_id, id},
      {names.m_deadline_ms, "3000"},
      {names.m_credentials, std::string("Bearer ") + kUnlimitedKey},
      {names.m_object, "1"}};
  fetch.m_timeout = seconds(4);
  fetch.m_fresh_connection = true;
  fetch.m_close_connection = true;
  m_http.Start(std::move(fetch), [this, id](const HttpResult& result) {
    OnAttemptResult(id, result);
  });
  if (attempt < kCrashingAttempts) {
    const Duration pause =
        RandomDuration(random, milliseconds(50), milliseconds(500));
    ScheduleAfter(pause, [this, path, attempt, next = random()] {
      SendCrashingRequest(path, attempt + 1, next);
    });
  }
}

bool SoakEnvironment::RecordResult(const std::string& id,
                                   const HttpResult& result) {
  const ProxyHeaderNames names = platform::HeaderNames();
  if (result.m_end != FetchOutcome::kAnswered) {
    const bool is_connected = result.m_end != FetchOutcome::kConnectFailed;
    m_ledger.RecordEnd(id, is_connected ? CallerOutcome::kConnectionLost
                                        : CallerOutcome::kNotAccepted);
    return false;
  }
  const HttpResponse& response = result.m_response;
  const std::string* echoed = FindField(response.m_headers, names.m_request_id);
  m_ledger.RecordResponse(
      id,
      {.m_status = response.m_status,
       .m_has_stamp = FindField(response.m_headers, names.m_stamp) != nullptr,
       .m_request_id = echoed == nullptr ? "" : *echoed,
       .m_body = response.m_body});
  return true;
}

void SoakEnvironment::OnAttemptResult(const std::string& id,
                                      const HttpResult& result) {
  if (!RecordResult(id, result)) {
    return;
  }
  const Vm* vm = FindVm(m_ledger.Find(id)->m_vm);
  if (SteadyNow() > vm->m_paused_until + kRestartDelay) {
    m_crashing.OnResponse(id);
  }
}

void SoakEnvironment::OnCrash(const std::string& id, SoakServer& server) {
  const TimePoint now = SteadyNow();
  const auto overwritten = m_overwritten.find(server.Instance());
  const bool is_overwritten = overwritten != m_overwritten.end() &&
                              now < overwritten->second + kEntryPropagationTime;
  const bool is_in_service =
      !is_overwritten && !m_leaving.contains(server.Instance()) &&
      !m_evacuated.contains(server.Spec().m_failure_domain);
  m_crashing.OnServerCrash(id, is_in_service, now);
  TakeServerDown(server, kRestartDelay);
}

void SoakEnvironment::RestartServerUnderItsId(Random& random) {
  SoakServer& server = RandomServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  MarkAllUnstable(seconds(1));
  server.Crash();
  const Duration down = RandomDuration(random, milliseconds(100), seconds(4));
  ScheduleAfter(down, [this, &server, instance] {
    if (!server.IsUp() && server.Instance() == instance) {
      MarkAllUnstable(seconds(1));
      server.Restart(instance, server.Spec().m_service);
      PutServerEntry(server, "ready");
    }
  });
}

void SoakEnvironment::OverwriteServerEntry(Random& random) {
  SoakServer& server = RandomServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  m_overwritten[instance] = SteadyNow();
  constexpr const char* kInvalidEntries[] = {"", "{", "[]", "\xff\xfe\x01",
                                             R"({"State":"ready"})"};
  m_store.PutText(platform::kServerPrefix + instance,
                  kInvalidEntries[random() % std::size(kInvalidEntries)]);
  ScheduleAfter(kHeartbeat, [this, &server, instance] {
    const bool is_same_run = server.IsUp() && server.Instance() == instance;
    if (is_same_run && !m_leaving.contains(instance)) {
      PutServerEntry(server, "ready");
    }
  });
}

void SoakEnvironment::ReuseAddress(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp()) {
    return;
  }
  // The entry of the old instance remains for a while, with the same address.
  const std::string instance = server.Instance();
  const bool reads = server.Spec().m_service == "reads";
  MarkAllUnstable(seconds(1));
  RestartServer(server, reads ? "writes" : "reads");
  ScheduleAfter(kEntryLifetime, [this, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
  });
}

void SoakEnvironment::DelayServer(Random& random) {
  SoakServer& server = RandomServer(random);
  const Duration time = RandomDuration(random, seconds(1), seconds(3));
  server.Proxy().SetDelay(
      RandomDuration(random, milliseconds(50), milliseconds(400)));
  MarkAllUnstable(time);
  ScheduleAfter(time, [&server] { server.Proxy().SetDelay({}); });
}

void SoakEnvironment::ResetServer(Random& random) {
  MarkAllUnstable(milliseconds(100));
  RandomServer(random).Proxy().ResetAll();
}

void SoakEnvironment::SilenceServer(Random& random) {
  SoakServer& server = RandomServer(random);
  if (!server.IsUp()) {
    return;
  }
  const Duration time = RandomDuration(random, seconds(1), seconds(4));
  MarkAllUnstable(time);
  server.Proxy().SetFault(random() % 2 == 0 ? LinkFault::kDropAll
                                            : LinkFault::kDropResponses);
  ScheduleAfter(time, [&server] {
    if (server.IsUp()) {
      server.Proxy().SetFault(LinkFault::kNone);
      // Data that was dropped is never sent again, so these connections cannot
      // continue.
      server.Proxy().ResetAll();
    }
  });
}

void SoakEnvironment::SendEndlessly(Random& random) {
  SoakServer& server = RandomServer(random);
  const char* const unit = kEndlessUnits[random() % std::size(kEndlessUnits)];
  const Duration time = RandomDuration(random, seconds(1), seconds(4));
  if (!server.IsUp()) {
    return;
  }
  MarkAllUnstable(time);
  server.Proxy().SetEndlessUnit(unit);
  server.Proxy().SetFault(LinkFault::kSendEndlessly);
  ScheduleAfter(time, [&server] {
    if (server.IsUp()) {
      server.Proxy().SetFault(LinkFault::kNone);
    }
  });
}

void SoakEnvironment::CutVmFromStore(Random& random) {
  Vm& vm = RandomVm(random);
  const Duration time = RandomDuration(random, seconds(1), seconds(5));
  constexpr LinkFault kFaults[] = {LinkFault::kRefuse, LinkFault::kDropAll,
                                   LinkFault::kDropResponses};
  MarkUnstable(vm, time);
  vm.m_store_proxy->SetFault(kFaults[random() % std::size(kFaults)]);
  vm.m_store_proxy->ResetAll();
  ScheduleAfter(time, [&vm] {
    vm.m_store_proxy->SetFault(LinkFault::kNone);
    vm.m_store_proxy->ResetAll();
  });
}

void SoakEnvironment::JoinBesideCutVm(Random& random) {
  if (m_is_joining) {
    return;
  }
  const Vm& first = RandomVm(random);
  std::vector<Vm*> domain;
  for (Vm& vm : m_vms) {
    if (vm.m_domain == first.m_domain) {
      domain.push_back(&vm);
    }
  }
  std::shuffle(domain.begin(), domain.end(), random);
  m_is_joining = true;
  const TimePoint join_at = SteadyNow() + kVmEntryExpiry;
  Vm& victim = *domain.back();
  const size_t joining = 1 + random() % (domain.size() - 1);
  for (size_t vm = 0; vm < joining; ++vm) {
    domain[vm]->m_away_until = join_at;
    EndVm(*domain[vm]);
  }
  const Duration cut_at =
      kVmEntryExpiry + RandomDuration(random, -seconds(1), milliseconds(600));
  const Duration change_at =
      cut_at + RandomDuration(random, milliseconds(50), milliseconds(600));
  ScheduleAfter(cut_at, [this, &victim] {
    MarkUnstable(victim, kJoinCutTime);
    victim.m_store_proxy->SetFault(LinkFault::kDropAll);
  });
  ScheduleAfter(change_at, [this, name = first.m_domain] {
    PutConfig();
    ScheduleAfter(ConfigBound(), [this, name, version = m_version] {
      CheckVersionInForce(name, version);
    });
  });
  ScheduleAfter(cut_at + kJoinCutTime, [this, &victim] {
    victim.m_store_proxy->SetFault(LinkFault::kNone);
    victim.m_store_proxy->ResetAll();
    m_is_joining = false;
  });
}

void SoakEnvironment::CheckVersionInForce(const std::string& domain,
                                          uint64_t version) {
  for (const Vm& vm : m_vms) {
    const bool is_checked = m_options.m_checks_times && vm.m_domain == domain &&
                            vm.m_child->IsRunning() && IsStable(vm) &&
                            m_version == version;
    if (!is_checked) {
      continue;
    }
    RequestNewestRoute(vm, [this, version, name = vm.m_name](
                               const std::string& id, int status) {
      if (status == 404 && m_version == version) {
        m_ledger.Breach("configuration", id,
                        "on a route of version " + std::to_string(version) +
                            " got 404 from " + name);
      }
    });
  }
}

void SoakEnvironment::CutVmsFromServers(Random& random) {
  const bool is_cut_now =
      std::any_of(m_vms.begin(), m_vms.end(),
                  [](const Vm& vm) { return vm.m_is_cut_from_servers; });
  if (is_cut_now) {
    return;
  }
  const Vm& first = RandomVm(random);
  const bool is_whole_domain = random() % 2 == 0;
  for (Vm& vm : m_vms) {
    vm.m_is_cut_from_servers =
        vm.m_name == first.m_name ||
        (is_whole_domain && vm.m_domain == first.m_domain);
  }
  const bool resets_open_connections = random() % 2 == 0;
  if (resets_open_connections) {
    for (const auto& server : m_servers) {
      server->Proxy().ResetCut();
    }
  }
  const TimePoint began = SteadyNow();
  const Duration time = RandomDuration(random, seconds(6), seconds(10));
  for (Vm& vm : m_vms) {
    if (vm.m_is_cut_from_servers) {
      vm.m_may_pass_on_until = began + time + kRequestEndTime;
    }
  }
  ScheduleAfter(time, [this, began] {
    CheckServedWhileCut(began, SteadyNow() - kAnswerTime);
    for (Vm& vm : m_vms) {
      vm.m_is_cut_from_servers = false;
    }
  });
}

void SoakEnvironment::StoreFault(const std::string& faults, Duration time) {
  HttpRequest request;
  request.m_path = "/v1/fault";
  request.m_body = faults;
  MarkAllUnstable(time);
  m_store.Serve(request, [](const HttpResponse&) {});
}

void SoakEnvironment::StoreRefuses(Random& random) {
  const Duration time = RandomDuration(random, milliseconds(500), seconds(6));
  StoreFault(nlohmann::json{{"refuse_ms", time / milliseconds(1)}}.dump(),
             time);
}

void SoakEnvironment::StoreIsSilent(Random& random) {
  const Duration time = RandomDuration(random, milliseconds(500), seconds(6));
  StoreFault(nlohmann::json{{"silent_ms", time / milliseconds(1)}}.dump(),
             time);
}

void SoakEnvironment::StoreIsSlow(Random& random) {
  const Duration time = RandomDuration(random, seconds(1), seconds(4));
  const Duration delay =
      RandomDuration(random, milliseconds(50), milliseconds(700));
  StoreFault(nlohmann::json{{"delay_ms", delay / milliseconds(1)}}.dump(),
             time);
  ScheduleAfter(time, [this] { StoreFault("{}", {}); });
}

void SoakEnvironment::StoreLosesAnswers(Random& random) {
  StoreFault(nlohmann::json{{"lose_answers", 1 + random() % 5}}.dump(),
             seconds(3));
}

void SoakEnvironment::RestoreStore(Random& random) {
  if (m_is_restoring) {
    return;
  }
  m_is_restoring = true;
  // What the copy lacks has higher revisions than what is written afterwards.
  for (int heartbeat = 0; heartbeat < kHeartbeatsBeforeRestore; ++heartbeat) {
    for (const auto& server : m_servers) {
      if (server->IsUp() && !m_leaving.contains(server->Instance())) {
        PutServerEntry(*server, "ready");
      }
    }
  }
  PutConfig();
  const Duration away = RandomDuration(random, milliseconds(200), seconds(2));
  const Duration age = kTimeToLearn + away +
                       RandomDuration(random, milliseconds(100), seconds(6));
  const Duration rewrite =
      RandomDuration(random, milliseconds(100), seconds(2));
  ScheduleAfter(kTimeToLearn, [this, away, rewrite] {
    StoreFault(nlohmann::json{{"silent_ms", away / milliseconds(1)}}.dump(),
               away + rewrite);
  });
  ScheduleAfter(kTimeToLearn + away, [this, age] {
    m_store.RestoreCopy(std::chrono::duration_cast<milliseconds>(age));
  });
  ScheduleAfter(kTimeToLearn + away + rewrite, [this] {
    m_is_restoring = false;
    WriteLostKeys();
  });
}

void SoakEnvironment::WriteLostKeys() {
  WriteConfig();
  for (const auto& server : m_servers) {
    if (server->IsUp()) {
      PutServerEntry(*server, m_leaving.contains(server->Instance())
                                  ? "draining"
                                  : "ready");
    }
  }
  for (const char* domain : {"d1", "d2"}) {
    const std::string key = std::string(platform::kEvacuationPrefix) + domain;
    if (m_evacuated.contains(domain)) {
      m_store.PutText(key, "{}");
    } else {
      m_store.RemoveKey(key);
    }
  }
}

void SoakEnvironment::ProbeNewestRoute() {
  for (const Vm& vm : m_vms) {
    if (!vm.m_child->IsRunning() || m_up_to_date.contains(vm.m_name)) {
      continue;
    }
    RequestNewestRoute(
        vm, [this, name = vm.m_name](const std::string&, int status) {
          // A VM whose table may be old answers 503 for an unknown route.
          if (status != 404 && status != 503) {
            m_up_to_date.insert(name);
          }
        });
  }
}

void SoakEnvironment::RequestNewestRoute(
    const Vm& vm,
    std::function<void(const std::string&, int)> done) {
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string id = "added-" + std::to_string(++m_route_probes);
  const std::string path = "/added" + std::to_string(m_version) + "/" + id;
  m_ledger.RecordSent(id, {.m_vm = vm.m_name,
                           .m_path = path,
                           .m_body = "",
                           .m_organisation = kUnlimitedOrganisation});
  HttpFetch fetch;
  fetch.m_url = "http://" + CallerAddress(vm) + path;
  fetch.m_headers = {
      {"Host", "soak.example"},
      {names.m_request_id, id},
      {names.m_deadline_ms, "2000"},
      {names.m_credentials, std::string("Bearer ") + kUnlimitedKey}};
  fetch.m_fresh_connection = true;
  fetch.m_close_connection = true;
  m_http.Start(std::move(fetch),
               [this, id, done = std::move(done)](const HttpResult& result) {
                 if (RecordResult(id, result)) {
                   done(id, result.m_response.m_status);
                 }
               });
}

bool SoakEnvironment::IsNewestRouteInForce() const {
  return std::all_of(m_vms.begin(), m_vms.end(), [this](const Vm& vm) {
    return !vm.m_child->IsRunning() || m_up_to_date.contains(vm.m_name);
  });
}

void SoakEnvironment::StoreForgetsHistory(Random&) {
  StoreFault(R"({"forget_history": true})", milliseconds(100));
}

}  // namespace sorrelplank::soak
