/// @file soak_environment.cc Setup, supervision of processes and checks of time
/// bounds.

#include "soak/soak_environment.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/wire_names.h"
#include "serve/clock_func.h"
#include "soak/soak_keys.h"
#include "soak/socket_owner_func.h"

namespace sorrelplank::soak {

namespace {

using nlohmann::json;

constexpr const char* kDomains[] = {"d1", "d2", "d3"};
constexpr int kVmsPerDomain = 3;
constexpr int kServersPerDomainAndService = 2;
constexpr size_t kVmMemoryMb = 160;
constexpr const char* kServices[] = {"reads", "writes"};
constexpr int kCallers = 24;
constexpr uint16_t kStorePort = 9400;
constexpr uint16_t kStoreProxyPort = 9402;
/// Rate limit, and burst, of the organisation that exceeds its limit.
constexpr int kLimitPerSecond = 4;
constexpr uint16_t kCallerPort = 8080;
constexpr uint16_t kReadyPort = 8081;
constexpr uint16_t kDirectoryPort = 8082;
constexpr uint16_t kMetricsPort = 8083;
constexpr uint16_t kExchangePort = 8084;
constexpr uint16_t kFeedPort = 8085;
constexpr uint16_t kQuotaPort = 8086;
constexpr uint16_t kPeerPort = 8087;
constexpr uint16_t kServerPort = 8090;
/// Time bounds in the entry VMs' settings, in seconds.
constexpr double kConfigApplyS = 2.5;
constexpr double kDrainS = 2.5;
constexpr double kGraceS = 6;
/// Tolerance beyond a time bound before a breach is recorded, as all processes
/// share one machine.
constexpr Duration kTimeSlack = milliseconds(700);
/// Time after a disturbance until the time bounds hold again.
constexpr Duration kContactTime = seconds(4);
/// Time within which a stopped process must exit, however busy the machine is.
constexpr Duration kMaxStopTime = seconds(20);
constexpr Duration kPollInterval = milliseconds(20);
/// VMs that are cut off from all servers must serve this fraction of what the
/// others serve, or fail at most these requests, and one in so many of all.
constexpr double kMinServedWhileCut = 2.0 / 3;
constexpr size_t kFailuresWhileCut = 10;
constexpr size_t kRequestsPerFailureWhileCut = 50;

Duration Bound(double bound_s) {
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(bound_s)) +
         kTimeSlack;
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

SoakEnvironment::SoakEnvironment(asio::io_context& io,
                                 EnvironmentOptions options)
    : m_io(io),
      m_options(std::move(options)),
      // A loopback network per process id, so that concurrent soaks do not
      // share addresses.
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
      entry.m_store_proxy = std::make_unique<FaultProxy>(
          io, ProxyEndpoints{Endpoint(entry.m_ip, kStoreProxyPort),
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
            [this](const std::string& id, SoakServer& run_server) {
              OnRun(id, run_server);
            },
            [this](const std::string& id, SoakServer& run_server) {
              OnCrash(id, run_server);
            },
            SoakServer::NoticeHandlers{
                [this](const std::string& id, SoakServer& run_server) {
                  m_notices.OnArrival(id, run_server,
                                      SenderProcess(id, run_server),
                                      SteadyNow());
                },
                [this](const std::string& id, SoakServer& run_server,
                       const ServerNotice& notice) {
                  m_notices.OnNotice(id, run_server, notice,
                                     SenderProcess(id, run_server),
                                     SteadyNow());
                }}));
        m_servers.back()->Proxy().SetCutFilter(
            [this](const asio::ip::tcp::endpoint& caller,
                   const asio::ip::tcp::endpoint& listener) {
              return IsCutConnection(caller, listener);
            });
      }
    }
  }
}

bool SoakEnvironment::IsCutConnection(
    const asio::ip::tcp::endpoint& caller,
    const asio::ip::tcp::endpoint& listener) const {
  return std::any_of(m_vms.begin(), m_vms.end(), [&](const Vm& vm) {
    return vm.m_is_cut_from_servers && vm.m_child->IsRunning() &&
           OwnsSocket(vm.m_child->Pid(), caller, listener);
  });
}

void SoakEnvironment::CheckServedWhileCut(TimePoint began, TimePoint ended) {
  const TimePoint from = began + kContactTime;
  std::set<std::string> cut;
  std::set<std::string> others;
  for (const Vm& vm : m_vms) {
    if (vm.m_unstable_until < began) {
      (vm.m_is_cut_from_servers ? cut : others).insert(vm.m_name);
    }
  }
  const ServedCounts at_cut = m_ledger.CountServed(cut, from, ended);
  const ServedCounts at_others = m_ledger.CountServed(others, from, ended);
  const auto share = [](const ServedCounts& counts) {
    return static_cast<double>(counts.m_success) /
           static_cast<double>(std::max<size_t>(1, counts.m_sent));
  };
  const size_t failed = at_cut.m_sent - at_cut.m_success;
  const size_t allowed =
      kFailuresWhileCut +
      (at_cut.m_sent + at_others.m_sent) / kRequestsPerFailureWhileCut;
  if (share(at_cut) < kMinServedWhileCut * share(at_others) &&
      failed > allowed) {
    m_ledger.Breach(
        "served while cut off", "-",
        "is for " + std::to_string(cut.size()) +
            " VMs that were cut off from all servers: they served " +
            std::to_string(at_cut.m_success) + " of " +
            std::to_string(at_cut.m_sent) + " requests, the others " +
            std::to_string(at_others.m_success) + " of " +
            std::to_string(at_others.m_sent));
  }
}

SoakEnvironment::~SoakEnvironment() {
  *m_is_alive = false;
}

std::string SoakEnvironment::Ip(int last) const {
  return m_network + std::to_string(last);
}

void SoakEnvironment::ScheduleAfter(Duration time, std::function<void()> call) {
  auto timer = std::make_shared<asio::steady_timer>(m_io, time);
  timer->async_wait(
      [timer, is_alive = m_is_alive, call = std::move(call)](std::error_code) {
        if (*is_alive) {
          call();
        }
      });
}

void SoakEnvironment::WriteSettings(Vm& vm) {
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
      {"peer_address", AddressText(vm.m_ip, kPeerPort)},
      {"store_address", AddressText(vm.m_ip, kStoreProxyPort)},
      {"memory_mb", kVmMemoryMb},
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

void SoakEnvironment::PutConfig() {
  ++m_version;
  m_up_to_date.clear();
  WriteConfig();
}

void SoakEnvironment::WriteConfig() {
  json rows = json::array();
  const auto add = [&rows](const std::string& name, const char* kind,
                           const char* service) {
    rows.push_back({name, "soak.example", "/" + name + "/", kind, 2.0, 0.5, 2,
                    true, service});
  };
  add("read", "idempotent", kServices[0]);
  add("write", "non_idempotent", kServices[1]);
  add("added" + std::to_string(m_version), "idempotent", kServices[0]);
  json unlimited_keys = json::array({kUnlimitedKey});
  if (m_version % 2 == 0) {
    unlimited_keys.push_back(kTemporaryKey);
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
         {{kUnlimitedOrganisation, unlimited_keys, nullptr, nullptr},
          {kLimitedOrganisation, json::array({kLimitedKey}), kLimitPerSecond,
           kLimitPerSecond}}}}},
      {"Services",
       {{"Columns", {"Name", "MaxConns", "ColdStartS", "ColdPerS"}},
        {"Rows", {{kServices[0], 100, 0, 0}, {kServices[1], 100, 0, 0}}}}}};
  m_store.PutText(platform::kConfigKey, config.dump());
}

Duration SoakEnvironment::ConfigBound() {
  return Bound(kConfigApplyS);
}

void SoakEnvironment::PutServerEntry(const SoakServer& server,
                                     const char* state) {
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

void SoakEnvironment::RestartServer(SoakServer& server,
                                    const std::string& service) {
  server.Restart("i-" + std::to_string(m_next_instance++), service);
  PutServerEntry(server, "ready");
}

void SoakEnvironment::Start() {
  PutConfig();
  for (const auto& server : m_servers) {
    RestartServer(*server, server->Spec().m_service);
  }
  for (Vm& vm : m_vms) {
    WriteSettings(vm);
    vm.m_child->Start();
  }
  Poll();
  ScheduleAfter(seconds(2), [this] {
    for (int number = 0; number < kCallers; ++number) {
      m_callers.push_back(std::make_shared<SoakCaller>(
          m_io, m_ledger, "c" + std::to_string(number),
          [this] { return PickTarget(); },
          [this](const std::string& id) { OnConnectionLost(id); }));
      m_callers.back()->Start();
    }
  });
}

void SoakEnvironment::StopCallers() {
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
}

bool SoakEnvironment::AreCallersIdle() const {
  return std::all_of(m_callers.begin(), m_callers.end(),
                     [](const auto& caller) { return caller->IsIdle(); });
}

void SoakEnvironment::ClearFaults() {
  HttpRequest request;
  request.m_path = "/v1/fault";
  request.m_body = "{}";
  m_store.Serve(request, [](const HttpResponse&) {});
  for (Vm& vm : m_vms) {
    vm.m_store_proxy->SetFault(LinkFault::kNone);
    vm.m_is_cut_from_servers = false;
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

std::string SoakEnvironment::CallerAddress(const Vm& vm) {
  return AddressText(vm.m_ip, kCallerPort);
}

CallerTarget SoakEnvironment::PickTarget() {
  const Vm& vm = m_vms[m_random() % m_vms.size()];
  return {vm.m_name, Endpoint(vm.m_ip, kCallerPort)};
}

void SoakEnvironment::CheckMemory() {
  for (const Vm& vm : m_vms) {
    const size_t peak = vm.m_child->PeakMemoryBytes();
    if (peak >= kVmMemoryMb * 1'000'000 / 2) {
      m_ledger.Breach(
          "memory", vm.m_name,
          "is a VM that had " + std::to_string(peak) + " bytes in memory");
    }
  }
}

void SoakEnvironment::Poll() {
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

void SoakEnvironment::PollVm(Vm& vm) {
  const TimePoint now = SteadyNow();
  const bool is_stopping = vm.m_stop_time != TimePoint::max();
  if (is_stopping && now > vm.m_stop_time + kMaxStopTime) {
    m_ledger.Breach("graceful stop", vm.m_name,
                    "is a VM that did not exit after SIGTERM");
    vm.m_stop_time = TimePoint::max();
    vm.m_child->Signal(SIGKILL);
  }
  const ChildExit end = vm.m_child->Poll();
  if (!end.m_has_exited) {
    return;
  }
  // While its libraries are loaded a program has no signal handlers yet, so
  // SIGTERM and SIGHUP end it by default; it has not started to listen by then.
  const bool was_stopped_while_loading =
      is_stopping && end.m_signal == SIGTERM && !end.m_has_written;
  const bool was_reloaded_while_loading =
      end.m_signal == SIGHUP && !end.m_has_written;
  const bool is_failed_stop = is_stopping && end.m_code != 0 &&
                              !was_stopped_while_loading &&
                              !was_reloaded_while_loading;
  const bool is_expected = vm.m_is_exit_expected || was_reloaded_while_loading;
  if (!is_expected || is_failed_stop) {
    m_ledger.Breach("no end of its own", vm.m_name,
                    "is a VM that exited with code " +
                        std::to_string(end.m_code) + ", signal " +
                        std::to_string(end.m_signal));
  }
  vm.m_is_exit_expected = false;
  vm.m_stop_time = TimePoint::max();
  MarkUnstable(vm, milliseconds(500));
  const Duration away =
      std::max<Duration>(vm.m_away_until - SteadyNow(), milliseconds(300));
  ScheduleAfter(away, [&vm] {
    if (!vm.m_child->IsRunning()) {
      ++vm.m_starts;
      vm.m_child->Start();
    }
  });
}

SoakEnvironment::Vm* SoakEnvironment::ReceiverOf(const std::string& id) {
  const CallerRequest* request = m_ledger.Find(id);
  return request == nullptr ? nullptr : FindVm(request->m_vm);
}

SoakEnvironment::Vm* SoakEnvironment::SenderOf(const std::string& id,
                                               SoakServer& server) {
  Vm* const receiver = ReceiverOf(id);
  if (receiver == nullptr || SteadyNow() > receiver->m_may_pass_on_until) {
    return receiver;
  }
  return FindVm(server.Proxy().SenderOf(
      id,
      [this](const asio::ip::tcp::endpoint& caller,
             const asio::ip::tcp::endpoint& listener) -> std::string {
        for (const Vm& vm : m_vms) {
          if (vm.m_child->IsRunning() &&
              OwnsSocket(vm.m_child->Pid(), caller, listener)) {
            return vm.m_name;
          }
        }
        return "";
      }));
}

VmProcess SoakEnvironment::SenderProcess(const std::string& id,
                                         SoakServer& server) {
  const Vm* vm = SenderOf(id, server);
  return vm == nullptr ? VmProcess() : VmProcess{vm->m_name, vm->m_starts};
}

SoakEnvironment::Vm* SoakEnvironment::FindVm(const std::string& name) {
  const auto it = std::find_if(m_vms.begin(), m_vms.end(),
                               [&](const Vm& vm) { return vm.m_name == name; });
  return it == m_vms.end() ? nullptr : &*it;
}

SoakEnvironment::Vm& SoakEnvironment::RandomVm(Random& random) {
  return m_vms[random() % m_vms.size()];
}

SoakServer& SoakEnvironment::RandomServer(Random& random) {
  return *m_servers[random() % m_servers.size()];
}

bool SoakEnvironment::IsStable(const Vm& vm) const {
  return SteadyNow() > vm.m_unstable_until + kContactTime;
}

void SoakEnvironment::MarkUnstable(Vm& vm, Duration time) {
  vm.m_unstable_until = std::max(vm.m_unstable_until, SteadyNow() + time);
}

void SoakEnvironment::MarkAllUnstable(Duration time) {
  for (Vm& vm : m_vms) {
    MarkUnstable(vm, time);
  }
}

void SoakEnvironment::OnRun(const std::string& id, SoakServer& server) {
  const CallerRequest* request = m_ledger.Find(id);
  const Vm* const vm = ReceiverOf(id);
  const Vm* const sender = SenderOf(id, server);
  const TimePoint now = SteadyNow();
  const bool is_timed = m_options.m_checks_times && vm != nullptr &&
                        sender != nullptr && IsStable(*vm) && IsStable(*sender);
  if (request != nullptr && CrashingRequests::IsCrashingPath(request->m_path)) {
    m_crashing.OnRunStart(id, is_timed, now);
  }
  if (!is_timed) {
    return;
  }
  const auto leaving = m_leaving.find(server.Instance());
  if (leaving != m_leaving.end() && now > leaving->second + Bound(kDrainS)) {
    m_ledger.Breach("drain", id,
                    "reached " + server.Instance() +
                        ", which is leaving, from " + vm->m_name);
  }
  const auto evacuated = m_evacuated.find(server.Spec().m_failure_domain);
  if (evacuated != m_evacuated.end() &&
      now > evacuated->second + Bound(kDrainS)) {
    m_ledger.Breach("evacuation", id,
                    "reached " + server.Instance() +
                        ", in an evacuated failure domain, from " + vm->m_name);
  }
}

void SoakEnvironment::OnConnectionLost(const std::string& id) {
  const CallerRequest* request = m_ledger.Find(id);
  Vm* vm = request == nullptr ? nullptr : FindVm(request->m_vm);
  const bool is_stopping = vm != nullptr && vm->m_stop_time != TimePoint::max();
  if (m_options.m_checks_times && is_stopping && IsStable(*vm) &&
      request->m_runs > 0) {
    m_ledger.Breach("graceful stop", id,
                    "ran but lost its connection to the stop of " + vm->m_name);
  }
}

}  // namespace sorrelplank::soak
