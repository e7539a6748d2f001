/// @file fleet.cc Starts, signals and queries the processes of a deployment.

#include "standin/fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "cli/folder.h"
#include "config/config_parse_func.h"
#include "net/http_client.h"

namespace sorrelplank {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr const char* kPlatformIp = "127.9.0.1";
constexpr int kPlatformPort = 9400;
constexpr int kOperatorPort = 9090;
constexpr int kPeerPort = 7070;

Snapshot ParseFolder(const std::string& folder) {
  auto parsed = ParseConfig(ReadFolder(folder), ConfigVersion(1));
  if (const auto* faults = std::get_if<Faults>(&parsed)) {
    throw std::runtime_error(FormatFault(faults->front()));
  }
  return std::move(std::get<Snapshot>(parsed));
}

/// The entry VMs of the configuration folder, with loopback addresses
/// 127.30.PLACE.NUMBER.
std::vector<FleetVm> ListVms(const std::string& folder,
                             const Snapshot& config) {
  std::vector<FleetVm> vms;
  std::map<std::string, int> count;
  for (const ConfigFile& file : ReadFolder(folder)) {
    const json root = json::parse(file.m_text);
    if (!root.contains("entry_vms")) {
      continue;
    }
    for (const auto& [name, entry] : root["entry_vms"].items()) {
      const std::string place = entry["place"];
      const auto id = config.FindPlace(HashName(place));
      vms.push_back({name, place,
                     "127.30." + std::to_string(id->Get() + 1) + "." +
                         std::to_string(++count[place])});
    }
  }
  return vms;
}

void SleepFor(Duration duration) {
  std::this_thread::sleep_for(duration);
}

}  // namespace

Fleet::Fleet(std::string binaries, const std::string& folder)
    : m_binaries(std::move(binaries)) {
  char work[] = "/tmp/sorrelplank-XXXXXX";
  if (mkdtemp(work) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  m_work_folder = work;
  m_folder = m_work_folder + "/config";
  fs::copy(folder, m_folder, fs::copy_options::recursive);
  fs::remove(m_folder + "/.sorrelplank-base");
  m_config = ParseFolder(m_folder);
  m_vms = ListVms(m_folder, m_config);
}

Fleet::~Fleet() {
  for (const auto& [name, pid] : m_processes) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  fs::remove_all(m_work_folder, ignored);
}

void Fleet::SetRunTime(const std::string& service, double run_ms) {
  m_run_ms[service] = run_ms;
}

void Fleet::StartPlatform() {
  Spawn("platform", {m_binaries + "/standin_platform", kPlatformIp,
                     std::to_string(kPlatformPort)});
}

void Fleet::StartBackends() {
  std::map<std::string, json> by_place;
  for (const BackendServer& backend : m_config.m_backends) {
    const Service& service = m_config.Get(backend.m_service);
    const auto run = m_run_ms.find(service.m_name);
    const double expected = ToMilliseconds(service.m_expected_run);
    by_place[m_config.Get(backend.m_place).m_name].push_back(
        {{"name", backend.m_name},
         {"ip", backend.m_ip},
         {"port", backend.m_port},
         {"slots", backend.m_slots},
         {"run_ms", run == m_run_ms.end() ? expected : run->second}});
  }
  for (const auto& [place, specs] : by_place) {
    const std::string file = m_work_folder + "/backends-" + place + ".json";
    std::ofstream(file) << specs.dump();
    Spawn("backends-" + place, {m_binaries + "/standin_backend", file});
  }
}

void Fleet::StartVm(const std::string& name) {
  const FleetVm& vm = VmByName(name);
  WriteSettings(vm);
  Spawn(name, {m_binaries + "/sorrelplank", "serve", "--settings",
               m_work_folder + "/" + name + ".json"});
}

void Fleet::StartAll() {
  StartPlatform();
  StartBackends();
  SleepFor(milliseconds(300));
  for (const FleetVm& vm : m_vms) {
    StartVm(vm.m_name);
  }
  const auto [exit, output] =
      Run({"apply", m_folder, "--platform", PlatformAddress()});
  if (exit != 0) {
    throw std::runtime_error("apply failed: " + output);
  }
}

std::pair<int, std::string> Fleet::Run(
    const std::vector<std::string>& arguments) {
  const std::string output =
      m_work_folder + "/output-" +
      std::to_string(Clock::now().time_since_epoch().count());
  std::vector<std::string> all = {m_binaries + "/sorrelplank"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  const pid_t pid = fork();
  if (pid == 0) {
    const int file = open(output.c_str(), O_CREAT | O_WRONLY, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::vector<char*> argv;
    argv.reserve(32);
    for (std::string& argument : all) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  int status = 0;
  waitpid(pid, &status, 0);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1,
          ReadFile(output).value_or("")};
}

int Fleet::Apply(const std::string& folder) {
  std::string via;
  for (const FleetVm& vm : m_vms) {
    if (IsRunning(vm.m_name)) {
      via = OperatorAddress(vm.m_name);
      break;
    }
  }
  return Run({"apply", folder, "--platform", PlatformAddress(), "--wait",
              "--via", via})
      .first;
}

void Fleet::Signal(const std::string& process, int signal) {
  kill(m_processes.at(process), signal);
}

int Fleet::WaitExit(const std::string& process, Duration limit) {
  const auto ends = Clock::now() + limit;
  const pid_t pid = m_processes.at(process);
  while (Clock::now() < ends) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid) {
      m_processes.erase(process);
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    SleepFor(milliseconds(10));
  }
  return -1;
}

pid_t Fleet::PidOf(const std::string& process) const {
  return m_processes.at(process);
}

bool Fleet::IsRunning(const std::string& process) const {
  return m_processes.contains(process);
}

bool Fleet::WaitReady(const std::vector<std::string>& vms, Duration limit) {
  const auto ends = Clock::now() + limit;
  while (Clock::now() < ends) {
    size_t ready = 0;
    for (const std::string& name : vms) {
      const json status = json::parse(
          HttpCall("GET", "http://" + OperatorAddress(name) + "/v1/status", ""),
          nullptr, false);
      if (!status.is_object() || !status.value("ready", false)) {
        break;
      }
      // A server that is claimed but not held yet is listed as not
      // dispatchable.
      const json& held = status["held"];
      const bool holds_all =
          !held.empty() &&
          std::all_of(held.begin(), held.end(), [](const json& server) {
            return server["dispatchable"].get<bool>();
          });
      ready += holds_all ? 1 : 0;
    }
    if (ready == vms.size()) {
      return true;
    }
    SleepFor(milliseconds(200));
  }
  return false;
}

std::vector<json> Fleet::BackendStats() {
  std::vector<json> all;
  for (const BackendServer& backend : m_config.m_backends) {
    const std::string url = "http://" + backend.m_ip + ":" +
                            std::to_string(backend.m_port) + "/standin/stats";
    json stats = json::parse(HttpCall("GET", url, ""), nullptr, false);
    if (stats.is_object()) {
      all.push_back(std::move(stats));
    }
  }
  return all;
}

void Fleet::SetPlatformFaults(const std::string& faults) {
  HttpCall("POST", "http://" + PlatformAddress() + "/v1/fault", faults);
}

std::string Fleet::PlatformStats() {
  return HttpCall("GET", "http://" + PlatformAddress() + "/v1/stats", "");
}

void Fleet::CutOff(const std::string& vm, const std::vector<std::string>& ips) {
  std::string list;
  for (const std::string& ip : ips) {
    list += (list.empty() ? "" : ",") + ip;
  }
  HttpCall("POST", "http://" + OperatorAddress(vm) + "/v1/fault/cut", list);
}

std::string Fleet::OperatorAddress(const std::string& vm) const {
  return VmByName(vm).m_ip + ":" + std::to_string(kOperatorPort);
}

std::string Fleet::PlatformAddress() {
  return std::string(kPlatformIp) + ":" + std::to_string(kPlatformPort);
}

void Fleet::Spawn(const std::string& process,
                  const std::vector<std::string>& arguments) {
  const std::string log = m_work_folder + "/" + process + ".log";
  std::vector<std::string> copy = arguments;
  const pid_t pid = fork();
  if (pid == 0) {
    const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::vector<char*> argv;
    argv.reserve(32);
    for (std::string& argument : copy) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  m_processes[process] = pid;
}

std::string Fleet::HttpCall(const std::string& method,
                            const std::string& url,
                            const std::string& body) {
  asio::io_context io{1};
  HttpClient client(io);
  std::optional<HttpResult> result;
  HttpFetch fetch;
  fetch.m_method = method;
  fetch.m_url = url;
  fetch.m_body = body;
  client.Start(std::move(fetch),
               [&](HttpResult got) { result = std::move(got); });
  while (!result) {
    io.run_one();
  }
  return result->m_response.m_body;
}

void Fleet::WriteSettings(const FleetVm& vm) {
  const auto place = m_config.FindPlace(HashName(vm.m_place));
  const FailureDomain& domain =
      m_config.m_domains[m_config.Get(*place).m_domain.Get()];
  json peers = json::array();
  for (const FleetVm& other : m_vms) {
    if (other.m_name != vm.m_name) {
      peers.push_back(other.m_ip + ":" + std::to_string(kPeerPort));
    }
  }
  const json settings = {
      {"name", vm.m_name},
      {"place", vm.m_place},
      {"failure_domain", domain.m_name},
      {"region", m_config.m_regions[domain.m_region.Get()].m_name},
      {"ip", vm.m_ip},
      {"platform", {PlatformAddress()}},
      {"peers", peers},
      {"fault_switch", true}};
  std::ofstream(m_work_folder + "/" + vm.m_name + ".json") << settings.dump(2);
}

const FleetVm& Fleet::VmByName(const std::string& name) const {
  for (const FleetVm& vm : m_vms) {
    if (vm.m_name == name) {
      return vm;
    }
  }
  throw std::runtime_error("unknown entry VM " + name);
}

}  // namespace sorrelplank
