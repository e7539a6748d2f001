/// @file soak_world.cc Setting up, watching over processes, checking times.

#include "soak/soak_world.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/wire_names.h"
#include "serve/clock_func.h"
#include "soak/soak_keys.h"

namespace sorrelplank::soak {

namespace {

using nlohmann::json;

constexpr const char* kDomains[] = {"d1", "d2", "d3"};
constexpr int kVmsPerDomain = 3;
constexpr int kServersPerDomainAndService = 2;
constexpr const char* kServices[] = {"reads", "writes"};
constexpr int kCallers = 24;
constexpr uint16_t kStorePort = 9400;
constexpr uint16_t kStoreProxyPort = 9402;
/// Limit of the organisation that asks for more.
constexpr int kLimitPerSecond = 4;
constexpr uint16_t kCallerPort = 8080;
constexpr uint16_t kReadyPort = 8081;
constexpr uint16_t kDirectoryPort = 8082;
constexpr uint16_t kMetricsPort = 8083;
constexpr uint16_t kExchangePort = 8084;
constexpr uint16_t kFeedPort = 8085;
constexpr uint16_t kQuotaPort = 8086;
constexpr uint16_t kServerPort = 8090;
/// Bounds that the entry VMs are told, in seconds.
constexpr double kConfigApplyS = 2.5;
constexpr double kDrainS = 2.5;
constexpr double kGraceS = 6;
/// Allowed beyond a bound before a breach is noted: this machine runs all the
/// processes at once.
constexpr Duration kSlack = milliseconds(700);
/// Time after trouble from which the bounds hold again.
constexpr Duration kContact = seconds(4);
/// Until a stopped process must have ended, however busy the machine is.
constexpr Duration kLongestStop = seconds(20);
constexpr Duration kPollInterval = milliseconds(20);

Duration Bound(double bound_s) {
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(bound_s)) +
         kSlack;
}

const char* RegionOf(const std::string& domain) {
  return domain == "d3" ? "r2" : "r1";
}

asio::ip::tcp::endpoint Endpoint(const std::string& ip, uint16_t port) {
  return {asio::ip::make_address(ip), port};
}

std::string AddressText(const std::string& ip, uint16_t port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

SoakWorld::SoakWorld(asio::io_context& io, WorldOptions options)
    : m_io(io),
      m_options(std::move(options)),
      // A network of its own for each process, so that two soaks do not meet.
      m_network("127." + std::to_string(64 + getpid() % 128) + "." +
                std::to_string(getpid() / 128 % 256) + "."),
      m_http(io),
      m_store(io),
      m_poll(io) {
  m_store_server = std::make_unique<HttpServer>(
      io, Ip(1), kStorePort, HttpLimits{},
      [this](const HttpRequest& request, const HttpReply& reply) {
        m_store.Serve(request, reply);
      });
  int number = 0;
  for (const char* domain : kDomains) {
    for (int vm = 0; vm < kVmsPerDomain; ++vm) {
      Vm entry;
      entry.m_name = std::string(domain) + "-vm" + std::to_string(vm + 1);
      entry.m_domain = domain;
      entry.m_ip = Ip(10 + number++);
      entry.m_child = std::make_unique<EdgeChild>(
          m_options.m_program,
          m_options.m_folder + "/" + entry.m_name + ".json",
          m_options.m_folder + "/" + entry.m_name + ".log");
      entry.m_store = std::make_unique<FaultProxy>(
          io, ProxyEnds{Endpoint(entry.m_ip, kStoreProxyPort),
                        Endpoint(Ip(1), kStorePort)});
      m_vms.push_back(std::move(entry));
    }
  }
  number = 0;
  for (const char* domain : kDomains) {
    for (const char* service : kServices) {
      for (int server = 0; server < kServersPerDomainAndService; ++server) {
        m_servers.push_back(std::make_unique<SoakServer>(
            io,
            SoakServerSpec{service, domain, Ip(100 + number++), kServerPort},
            m_ledger,
            [this](const std::string& id, const SoakServer& where) {
              OnRun(id, where);
            },
            [this](const std::string& id, SoakServer& where) {
              OnCrash(id, where);
            },
            SoakServer::NoticeHandlers{
                [this](const std::string& id, const SoakServer& where) {
                  m_notices.Arrived(id, where, LifeOf(id), SteadyNow());
                },
                [this](const std::string& id, const SoakServer& where,
                       const ServerNotice& notice) {
                  m_notices.Asked(id, where, notice, LifeOf(id), SteadyNow());
                }}));
      }
    }
  }
}

SoakWorld::~SoakWorld() {
  *m_is_alive = false;
}

std::string SoakWorld::Ip(int last) const {
  return m_network + std::to_string(last);
}

void SoakWorld::After(Duration time, std::function<void()> call) {
  auto timer = std::make_shared<asio::steady_timer>(m_io, time);
  timer->async_wait(
      [timer, is_alive = m_is_alive, call = std::move(call)](std::error_code) {
        if (*is_alive) {
          call();
        }
      });
}

void SoakWorld::WriteSettings(Vm& vm) {
  json domains = json::object();
  for (const char* domain : kDomains) {
    domains[domain] = RegionOf(domain);
  }
  const json settings = {
      {"vm", vm.m_name},
      {"failure_domain", vm.m_domain},
      {"region", RegionOf(vm.m_domain)},
      {"failure_domains", domains},
      {"client_address", AddressText(vm.m_ip, kCallerPort)},
      {"ready_address", AddressText(vm.m_ip, kReadyPort)},
      {"directory_address", AddressText(vm.m_ip, kDirectoryPort)},
      {"metrics_address", AddressText(vm.m_ip, kMetricsPort)},
      {"exchange_address", AddressText(vm.m_ip, kExchangePort)},
      {"feed_address", AddressText(vm.m_ip, kFeedPort)},
      {"quota_address", AddressText(vm.m_ip, kQuotaPort)},
      {"store_address", AddressText(vm.m_ip, kStoreProxyPort)},
      {"shortest_lease_s", 1},
      {"longest_ttl_s", 5},
      {"stop_grace_s", kGraceS},
      {"config_apply_s", kConfigApplyS},
      {"drain_s", kDrainS},
      {"retry_ratio", 0.2},
      {"retry_extra", 40 + vm.m_settings_number},
      {"retry_window_s", 10},
      {"cold_factor", 1.5},
      {"cold_slack", 5},
      {"quota_window_s", 5},
      {"quota_excess", 0.1},
      {"quota_slack", 20},
      {"most_shift", 0.15}};
  std::ofstream(m_options.m_folder + "/" + vm.m_name + ".json")
      << settings.dump(2);
}

void SoakWorld::PutConfig() {
  ++m_version;
  json rows = json::array();
  const auto add = [&rows](const std::string& name, const char* kind,
                           const char* service) {
    rows.push_back({name, "soak.example", "/" + name + "/", kind, 2.0, 0.5, 2,
                    true, service});
  };
  add("read", "idempotent", kServices[0]);
  add("write", "non_idempotent", kServices[1]);
  add("added" + std::to_string(m_version), "idempotent", kServices[0]);
  json free_keys = json::array({kFreeKey});
  if (m_version % 2 == 0) {
    free_keys.push_back(kPassingKey);
  }
  const json config = {
      {"Version", "r" + std::to_string(m_version)},
      {"Routes",
       {{"Columns",
         {"Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS",
          "MaxAttempts", "SessionAffinity", "Service"}},
        {"Rows", rows}}},
      {"Tenants",
       {{"Columns", {"Name", "ApiKeys", "RatePerS", "Burst"}},
        {"Rows",
         {{kFreeOrganisation, free_keys, nullptr, nullptr},
          {kLimitedOrganisation, json::array({kLimitedKey}), kLimitPerSecond,
           kLimitPerSecond}}}}},
      {"Services",
       {{"Columns", {"Name", "MaxConns", "ColdStartS", "ColdPerS"}},
        {"Rows", {{kServices[0], 100, 0, 0}, {kServices[1], 100, 0, 0}}}}}};
  m_store.PutText(platform::kConfigKey, config.dump());
}

void SoakWorld::PutServerEntry(const SoakServer& server, const char* state) {
  m_store.PutText(platform::kServerPrefix + server.Instance(),
                  json{{"Service", server.Spec().m_service},
                       {"Address", server.Address()},
                       {"Zone", server.Spec().m_failure_domain},
                       {"Version", "v1"},
                       {"Slots", 4},
                       {"State", state},
                       {"ColdLeftS", 0},
                       {"Sequence", 1},
                       {"born", server.Started().count()}}
                      .dump());
}

void SoakWorld::RestartServer(SoakServer& server, const std::string& service) {
  server.Restart("i-" + std::to_string(m_next_instance++), service);
  PutServerEntry(server, "ready");
}

void SoakWorld::Start() {
  PutConfig();
  for (const auto& server : m_servers) {
    RestartServer(*server, server->Spec().m_service);
  }
  for (Vm& vm : m_vms) {
    WriteSettings(vm);
    vm.m_child->Start();
  }
  Poll();
  After(seconds(2), [this] {
    for (int number = 0; number < kCallers; ++number) {
      m_callers.push_back(std::make_shared<SoakCaller>(
          m_io, m_ledger, "c" + std::to_string(number),
          [this] { return PickTarget(); },
          [this](const std::string& id) { OnCut(id); }));
      m_callers.back()->Start();
    }
  });
}

void SoakWorld::StopCallers() {
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
}

bool SoakWorld::AreCallersIdle() const {
  return std::all_of(m_callers.begin(), m_callers.end(),
                     [](const auto& caller) { return caller->IsIdle(); });
}

void SoakWorld::Heal() {
  HttpRequest request;
  request.m_path = "/v1/fault";
  request.m_body = "{}";
  m_store.Serve(request, [](const HttpResponse&) {});
  for (Vm& vm : m_vms) {
    vm.m_store->SetFault(LinkFault::kNone);
    vm.m_child->Signal(SIGCONT);
    vm.m_is_paused = false;
  }
  for (const auto& server : m_servers) {
    server->Proxy().SetDelay({});
    if (server->IsUp()) {
      server->Proxy().SetFault(LinkFault::kNone);
    }
  }
}

std::string SoakWorld::CallerAddress(const Vm& vm) {
  return AddressText(vm.m_ip, kCallerPort);
}

CallerTarget SoakWorld::PickTarget() {
  const Vm& vm = m_vms[m_random() % m_vms.size()];
  return {vm.m_name, Endpoint(vm.m_ip, kCallerPort)};
}

void SoakWorld::Poll() {
  for (Vm& vm : m_vms) {
    PollVm(vm);
  }
  m_poll.expires_after(kPollInterval);
  m_poll.async_wait([this, is_alive = m_is_alive](std::error_code error) {
    if (!error && *is_alive) {
      Poll();
    }
  });
}

void SoakWorld::PollVm(Vm& vm) {
  const TimePoint now = SteadyNow();
  const bool is_stopping = vm.m_stop_began != TimePoint::max();
  if (is_stopping && now > vm.m_stop_began + kLongestStop) {
    m_ledger.Breach("graceful stop", vm.m_name, "is a VM that does not end");
    vm.m_stop_began = TimePoint::max();
    vm.m_child->Signal(SIGKILL);
  }
  const ChildExit end = vm.m_child->Poll();
  if (!end.m_has_exited) {
    return;
  }
  // Until its libraries are loaded no program can set a handler, and SIGTERM
  // ends it by default; it has not listened by then.
  const bool was_stopped_while_loading =
      is_stopping && end.m_signal == SIGTERM && !end.m_had_begun;
  const bool is_failed_stop =
      is_stopping && end.m_code != 0 && !was_stopped_while_loading;
  if (!vm.m_end_is_expected || is_failed_stop) {
    m_ledger.Breach("no end of its own", vm.m_name,
                    "is a VM that ended with code " +
                        std::to_string(end.m_code) + ", signal " +
                        std::to_string(end.m_signal));
  }
  vm.m_end_is_expected = false;
  vm.m_stop_began = TimePoint::max();
  Trouble(vm, milliseconds(500));
  After(milliseconds(300), [&vm] {
    if (!vm.m_child->IsRunning()) {
      ++vm.m_starts;
      vm.m_child->Start();
    }
  });
}

VmLife SoakWorld::LifeOf(const std::string& id) {
  const CallerRequest* request = m_ledger.Find(id);
  const Vm* vm = request == nullptr ? nullptr : FindVm(request->m_vm);
  return vm == nullptr ? VmLife() : VmLife{vm->m_name, vm->m_starts};
}

SoakWorld::Vm* SoakWorld::FindVm(const std::string& name) {
  const auto it = std::find_if(m_vms.begin(), m_vms.end(),
                               [&](const Vm& vm) { return vm.m_name == name; });
  return it == m_vms.end() ? nullptr : &*it;
}

SoakWorld::Vm& SoakWorld::AnyVm(Random& random) {
  return m_vms[random() % m_vms.size()];
}

SoakServer& SoakWorld::AnyServer(Random& random) {
  return *m_servers[random() % m_servers.size()];
}

bool SoakWorld::IsCalm(const Vm& vm) const {
  return SteadyNow() > vm.m_troubled_until + kContact;
}

void SoakWorld::Trouble(Vm& vm, Duration time) {
  vm.m_troubled_until = std::max(vm.m_troubled_until, SteadyNow() + time);
}

void SoakWorld::TroubleAll(Duration time) {
  for (Vm& vm : m_vms) {
    Trouble(vm, time);
  }
}

void SoakWorld::OnRun(const std::string& id, const SoakServer& server) {
  const CallerRequest* request = m_ledger.Find(id);
  Vm* vm = request == nullptr ? nullptr : FindVm(request->m_vm);
  const TimePoint now = SteadyNow();
  const bool is_timed =
      m_options.m_checks_times && vm != nullptr && IsCalm(*vm);
  if (request != nullptr && CrashingRequests::Ends(request->m_path)) {
    m_crashing.Runs(id, is_timed, now);
  }
  if (!is_timed) {
    return;
  }
  const auto leaving = m_leaving.find(server.Instance());
  if (leaving != m_leaving.end() && now > leaving->second + Bound(kDrainS)) {
    m_ledger.Breach(
        "drain", id,
        "reached " + server.Instance() + ", which leaves, from " + vm->m_name);
  }
  const auto evacuated = m_evacuated.find(server.Spec().m_failure_domain);
  if (evacuated != m_evacuated.end() &&
      now > evacuated->second + Bound(kDrainS)) {
    m_ledger.Breach("evacuation", id,
                    "reached " + server.Instance() +
                        ", in an evacuated domain, from " + vm->m_name);
  }
}

void SoakWorld::OnCut(const std::string& id) {
  const CallerRequest* request = m_ledger.Find(id);
  Vm* vm = request == nullptr ? nullptr : FindVm(request->m_vm);
  const bool is_stopping =
      vm != nullptr && vm->m_stop_began != TimePoint::max();
  if (m_options.m_checks_times && is_stopping && IsCalm(*vm) &&
      request->m_runs > 0) {
    m_ledger.Breach("graceful stop", id,
                    "ran and was cut off by the stop of " + vm->m_name);
  }
}

}  // namespace sorrelplank::soak
