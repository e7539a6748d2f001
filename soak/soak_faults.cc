/// @file soak_faults.cc Planned work and faults of the world.

#include <csignal>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "net/http_client.h"
#include "platform/wire_names.h"
#include "serve/clock_func.h"
#include "soak/soak_keys.h"
#include "soak/soak_world.h"

namespace sorrelplank::soak {

namespace {

/// A time between two bounds.
Duration Draw(SoakWorld::Random& random, Duration least, Duration most) {
  std::uniform_int_distribution<int64_t> spread(least.count(), most.count());
  return Duration(spread(random));
}

/// A server that leaves serves this long after the store took its word.
constexpr Duration kLeavingServes = seconds(4);
/// Entries of servers that crashed are gone after three missed heartbeats.
constexpr Duration kEntryLapses = milliseconds(4500);
/// A server that lives writes its entry again within a heartbeat.
constexpr Duration kHeartbeat = milliseconds(1500);
/// A server that a request ended is back after this time.
constexpr Duration kCrashedFor = seconds(3);
/// How often a request that ends servers is repeated.
constexpr int kCrashingAttempts = 16;
/// All VMs know of an entry, and of the one after it, also those that were cut
/// off.
constexpr Duration kNewsOfEntry = seconds(8);

}  // namespace

void SoakWorld::StopVm(Random& random) {
  Vm& vm = AnyVm(random);
  const bool is_running = vm.m_child->IsRunning() && !vm.m_end_is_expected;
  if (!is_running || vm.m_is_paused) {
    return;
  }
  vm.m_end_is_expected = true;
  vm.m_stop_began = SteadyNow();
  vm.m_child->Signal(SIGTERM);
}

void SoakWorld::DrainServer(Random& random) {
  SoakServer& server = AnyServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  PutServerEntry(server, "draining");
  m_leaving[instance] = SteadyNow();
  After(kLeavingServes, [this, &server, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
    if (server.Instance() == instance) {
      RestartServer(server, server.Spec().m_service);
    }
  });
}

void SoakWorld::ChangeConfig(Random&) {
  PutConfig();
}

void SoakWorld::EvacuateDomain(Random& random) {
  const std::string domain = random() % 2 == 0 ? "d1" : "d2";
  if (!m_evacuated.empty()) {
    return;
  }
  m_store.PutText(platform::kEvacuationPrefix + domain, "{}");
  m_evacuated[domain] = SteadyNow();
  After(Draw(random, seconds(3), seconds(6)), [this, domain] {
    m_store.RemoveKey(platform::kEvacuationPrefix + domain);
    m_evacuated.erase(domain);
  });
}

void SoakWorld::ReloadSettings(Random& random) {
  Vm& vm = AnyVm(random);
  ++vm.m_settings_number;
  WriteSettings(vm);
  vm.m_child->Signal(SIGHUP);
}

void SoakWorld::KillVm(Random& random) {
  Vm& vm = AnyVm(random);
  vm.m_end_is_expected = true;
  vm.m_is_paused = false;
  vm.m_stop_began = TimePoint::max();
  Trouble(vm, seconds(1));
  vm.m_child->Signal(SIGKILL);
}

void SoakWorld::KillAllVms(Random&) {
  for (Vm& vm : m_vms) {
    vm.m_end_is_expected = true;
    vm.m_is_paused = false;
    vm.m_stop_began = TimePoint::max();
    vm.m_child->Signal(SIGKILL);
  }
  TroubleAll(seconds(1));
}

void SoakWorld::PauseVm(Random& random) {
  Vm& vm = AnyVm(random);
  if (vm.m_end_is_expected || vm.m_is_paused) {
    return;
  }
  const Duration time = Draw(random, milliseconds(300), seconds(5));
  vm.m_is_paused = true;
  vm.m_paused_until = SteadyNow() + time;
  Trouble(vm, time);
  vm.m_child->Signal(SIGSTOP);
  After(time, [&vm] {
    vm.m_child->Signal(SIGCONT);
    vm.m_is_paused = false;
  });
}

void SoakWorld::CrashServer(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp()) {
    return;
  }
  TroubleAll(seconds(1));
  EndServer(server, Draw(random, milliseconds(500), seconds(6)));
}

void SoakWorld::AskFor(SoakServer& server,
                       const ServerNotice& notice,
                       Duration time) {
  server.Ask(notice);
  After(time, [&server, life = server.Life()] {
    if (server.Life() == life) {
      server.Ask({});
    }
  });
}

void SoakWorld::NameLimit(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp() || server.Asks().m_is_leaving) {
    return;
  }
  ServerNotice notice;
  notice.m_max_per_second = 1.5 + static_cast<double>(random() % 20) / 2;
  AskFor(server, notice, Draw(random, seconds(2), seconds(15)));
}

void SoakWorld::SayLeaving(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp()) {
    return;
  }
  ServerNotice notice;
  notice.m_is_leaving = true;
  server.Ask(notice);
  After(Draw(random, seconds(3), seconds(8)),
        [this, &server, life = server.Life()] {
          if (server.Life() == life) {
            TroubleAll(seconds(1));
            EndServer(server, kCrashedFor);
          }
        });
}

void SoakWorld::AskForPause(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp() || server.Asks().m_is_leaving) {
    return;
  }
  ServerNotice notice;
  notice.m_pause = Draw(random, milliseconds(300), seconds(4));
  AskFor(server, notice, Draw(random, seconds(1), seconds(5)));
}

void SoakWorld::EndServer(SoakServer& server, Duration down) {
  const std::string instance = server.Instance();
  server.Crash();
  After(kEntryLapses, [this, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
  });
  After(down, [this, &server, instance] {
    if (!server.IsUp() && server.Instance() == instance) {
      RestartServer(server, server.Spec().m_service);
    }
  });
}

void SoakWorld::RepeatCrashingRequest(Random& random) {
  const std::string path = "/read/crash" + std::to_string(++m_crashing_drawn);
  AskCrashing(path, 1, random());
}

void SoakWorld::AskCrashing(const std::string& path,
                            int attempt,
                            uint64_t seed) {
  Random random(seed);
  const Vm& vm = AnyVm(random);
  const ProxyHeaderNames names = platform::HeaderNames();
  const std::string id = path.substr(1) + "-" + std::to_string(attempt);
  m_ledger.Sent(id, {.m_vm = vm.m_name,
                     .m_path = path,
                     .m_body = "",
                     .m_organisation = kFreeOrganisation});
  m_crashing.Asked(id, path, {vm.m_name, vm.m_starts});
  HttpFetch fetch;
  fetch.m_url = "http://" + CallerAddress(vm) + path;
  fetch.m_headers = {{"Host", "soak.example"},
                     {names.m_request_id, id},
                     {names.m_deadline_ms, "3000"},
                     {names.m_credentials, std::string("Bearer ") + kFreeKey},
                     {names.m_object, "1"}};
  fetch.m_timeout = seconds(4);
  fetch.m_fresh_connection = true;
  fetch.m_close_connection = true;
  m_http.Start(std::move(fetch), [this, id](const HttpResult& result) {
    EndAttempt(id, result);
  });
  if (attempt < kCrashingAttempts) {
    const Duration pause = Draw(random, milliseconds(50), milliseconds(500));
    After(pause, [this, path, attempt, next = random()] {
      AskCrashing(path, attempt + 1, next);
    });
  }
}

void SoakWorld::EndAttempt(const std::string& id, const HttpResult& result) {
  const ProxyHeaderNames names = platform::HeaderNames();
  if (result.m_end != FetchOutcome::kAnswered) {
    const bool is_connected = result.m_end != FetchOutcome::kConnectFailed;
    m_ledger.Ended(id,
                   is_connected ? CallerEnd::kCut : CallerEnd::kNotAccepted);
    return;
  }
  const HttpResponse& response = result.m_response;
  const std::string* echoed = FindField(response.m_headers, names.m_request_id);
  m_ledger.Answered(id, {.m_status = response.m_status,
                         .m_has_stamp = FindField(response.m_headers,
                                                  names.m_stamp) != nullptr,
                         .m_request_id = echoed == nullptr ? "" : *echoed,
                         .m_body = response.m_body});
  const Vm* vm = FindVm(m_ledger.Find(id)->m_vm);
  if (SteadyNow() > vm->m_paused_until + kCrashedFor) {
    m_crashing.Answered(id);
  }
}

void SoakWorld::OnCrash(const std::string& id, SoakServer& server) {
  const TimePoint now = SteadyNow();
  const auto overwritten = m_overwritten.find(server.Instance());
  const bool is_overwritten = overwritten != m_overwritten.end() &&
                              now < overwritten->second + kNewsOfEntry;
  const bool is_told = !is_overwritten &&
                       !m_leaving.contains(server.Instance()) &&
                       !m_evacuated.contains(server.Spec().m_failure_domain);
  m_crashing.Ended(id, is_told, now);
  EndServer(server, kCrashedFor);
}

void SoakWorld::RestartServerUnderItsId(Random& random) {
  SoakServer& server = AnyServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  TroubleAll(seconds(1));
  server.Crash();
  const Duration down = Draw(random, milliseconds(100), seconds(4));
  After(down, [this, &server, instance] {
    if (!server.IsUp() && server.Instance() == instance) {
      TroubleAll(seconds(1));
      server.Restart(instance, server.Spec().m_service);
      PutServerEntry(server, "ready");
    }
  });
}

void SoakWorld::OverwriteServerEntry(Random& random) {
  SoakServer& server = AnyServer(random);
  const std::string instance = server.Instance();
  if (!server.IsUp() || m_leaving.contains(instance)) {
    return;
  }
  m_overwritten[instance] = SteadyNow();
  constexpr const char* kForeign[] = {"", "{", "[]", "\xff\xfe\x01",
                                      R"({"State":"ready"})"};
  m_store.PutText(platform::kServerPrefix + instance,
                  kForeign[random() % std::size(kForeign)]);
  After(kHeartbeat, [this, &server, instance] {
    const bool is_same = server.IsUp() && server.Instance() == instance;
    if (is_same && !m_leaving.contains(instance)) {
      PutServerEntry(server, "ready");
    }
  });
}

void SoakWorld::ReuseAddress(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp()) {
    return;
  }
  // The entry of the old instance stays for a while, under the same address.
  const std::string instance = server.Instance();
  const bool reads = server.Spec().m_service == "reads";
  TroubleAll(seconds(1));
  RestartServer(server, reads ? "writes" : "reads");
  After(kEntryLapses, [this, instance] {
    m_store.RemoveKey(platform::kServerPrefix + instance);
  });
}

void SoakWorld::DelayServer(Random& random) {
  SoakServer& server = AnyServer(random);
  const Duration time = Draw(random, seconds(1), seconds(3));
  server.Proxy().SetDelay(Draw(random, milliseconds(50), milliseconds(400)));
  TroubleAll(time);
  After(time, [&server] { server.Proxy().SetDelay({}); });
}

void SoakWorld::ResetServer(Random& random) {
  TroubleAll(milliseconds(100));
  AnyServer(random).Proxy().ResetAll();
}

void SoakWorld::SilenceServer(Random& random) {
  SoakServer& server = AnyServer(random);
  if (!server.IsUp()) {
    return;
  }
  const Duration time = Draw(random, seconds(1), seconds(4));
  TroubleAll(time);
  server.Proxy().SetFault(random() % 2 == 0 ? LinkFault::kSilent
                                            : LinkFault::kSilentBackward);
  After(time, [&server] {
    if (server.IsUp()) {
      server.Proxy().SetFault(LinkFault::kNone);
      // What was dropped in the middle of a connection never comes.
      server.Proxy().ResetAll();
    }
  });
}

void SoakWorld::CutVmFromStore(Random& random) {
  Vm& vm = AnyVm(random);
  const Duration time = Draw(random, seconds(1), seconds(5));
  constexpr LinkFault kFaults[] = {LinkFault::kRefuse, LinkFault::kSilent,
                                   LinkFault::kSilentBackward};
  Trouble(vm, time);
  vm.m_store->SetFault(kFaults[random() % std::size(kFaults)]);
  vm.m_store->ResetAll();
  After(time, [&vm] {
    vm.m_store->SetFault(LinkFault::kNone);
    vm.m_store->ResetAll();
  });
}

void SoakWorld::StoreFault(const std::string& faults, Duration time) {
  HttpRequest request;
  request.m_path = "/v1/fault";
  request.m_body = faults;
  TroubleAll(time);
  m_store.Serve(request, [](const HttpResponse&) {});
}

void SoakWorld::StoreRefuses(Random& random) {
  const Duration time = Draw(random, milliseconds(500), seconds(6));
  StoreFault(nlohmann::json{{"refuse_ms", time / milliseconds(1)}}.dump(),
             time);
}

void SoakWorld::StoreIsSilent(Random& random) {
  const Duration time = Draw(random, milliseconds(500), seconds(6));
  StoreFault(nlohmann::json{{"silent_ms", time / milliseconds(1)}}.dump(),
             time);
}

void SoakWorld::StoreIsSlow(Random& random) {
  const Duration time = Draw(random, seconds(1), seconds(4));
  const Duration delay = Draw(random, milliseconds(50), milliseconds(700));
  StoreFault(nlohmann::json{{"delay_ms", delay / milliseconds(1)}}.dump(),
             time);
  After(time, [this] { StoreFault("{}", {}); });
}

void SoakWorld::StoreLosesAnswers(Random& random) {
  StoreFault(nlohmann::json{{"lose_answers", 1 + random() % 5}}.dump(),
             seconds(3));
}

void SoakWorld::StoreForgetsHistory(Random&) {
  StoreFault(R"({"forget_history": true})", milliseconds(100));
}

}  // namespace sorrelplank::soak
