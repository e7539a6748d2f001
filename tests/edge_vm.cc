/// @file edge_vm.cc Settings, configuration and backend server of the process.

#include "tests/edge_vm.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/http_client.h"
#include "platform/wire_names.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

using asio::ip::tcp;
using nlohmann::json;

namespace fs = std::filesystem;

constexpr uint16_t kStorePort = 9400;
constexpr uint16_t kServerPort = 8090;
constexpr uint16_t kFirstPort = 8080;
/// How often an ordinary client returns, its pause, and how long it waits for
/// an answer.
constexpr int kMaxAttempts = 20;
constexpr Duration kPause = seconds(1);
constexpr Duration kPatience = seconds(10);
constexpr size_t kMaxBodyBytes = 1U << 20U;
constexpr size_t kMaxHeadBytes = 16U << 10U;

std::string AddressText(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

EdgeVm::EdgeVm(const EdgeVmOptions& options)
    : m_options(options),
      // A network per process id, apart from those of the soak.
      m_network("127." + std::to_string(192 + getpid() % 32) + "." +
                std::to_string(getpid() / 32 % 256) + "."),
      m_store(m_io) {
  std::string folder = "/tmp/sorrelplank-edge-XXXXXX";
  m_folder = mkdtemp(folder.data());
  m_store_server = std::make_unique<HttpServer>(
      m_io, Ip(1), kStorePort, HttpLimits{},
      [this](const HttpRequest& request, const HttpReply& reply) {
        m_store.Serve(request, reply);
      });
  m_backend = std::make_unique<HttpServer>(
      m_io, Ip(2), kServerPort, HttpLimits{.m_max_body_bytes = kMaxBodyBytes},
      [this](const HttpRequest& request, const HttpReply& reply) {
        Serve(request, reply);
      });
  WriteSettings(options);
  WriteConfig();
  rlimit usual{};
  getrlimit(RLIMIT_NOFILE, &usual);
  rlimit lowered = usual;
  lowered.rlim_cur = options.m_descriptors;
  setrlimit(RLIMIT_NOFILE, &lowered);
  m_child = std::make_unique<soak::EdgeChild>(
      std::string(BINARY_DIR) + "/sorrelplank", m_folder + "/settings.json",
      m_folder + "/log");
  m_child->Start();
  setrlimit(RLIMIT_NOFILE, &usual);
}

EdgeVm::~EdgeVm() {
  m_child.reset();
  std::error_code ignored;
  fs::remove_all(m_folder, ignored);
}

std::string EdgeVm::Ip(int last) const {
  return m_network + std::to_string(last);
}

tcp::endpoint EdgeVm::EndpointOf(Listener listener) const {
  constexpr uint16_t kPorts[] = {0, 1, 2, 3, 5, 7};
  return {asio::ip::make_address(Ip(10)),
          static_cast<uint16_t>(kFirstPort +
                                kPorts[static_cast<size_t>(listener)])};
}

void EdgeVm::WriteSettings(const EdgeVmOptions& options) const {
  const std::string ip = Ip(10);
  const json settings = {{"vm", "vm-1"},
                         {"failure_domain", "d1"},
                         {"region", "r1"},
                         {"failure_domains", {{"d1", "r1"}}},
                         {"client_address", AddressText(ip, kFirstPort)},
                         {"ready_address", AddressText(ip, kFirstPort + 1)},
                         {"directory_address", AddressText(ip, kFirstPort + 2)},
                         {"metrics_address", AddressText(ip, kFirstPort + 3)},
                         {"exchange_address", AddressText(ip, kFirstPort + 4)},
                         {"feed_address", AddressText(ip, kFirstPort + 5)},
                         {"quota_address", AddressText(ip, kFirstPort + 6)},
                         {"peer_address", AddressText(ip, kFirstPort + 7)},
                         {"store_address", AddressText(Ip(1), kStorePort)},
                         {"memory_mb", options.m_memory_mb},
                         {"shortest_lease_s", 1},
                         {"longest_ttl_s", 5},
                         {"stop_grace_s", 6},
                         {"config_apply_s", 2.5},
                         {"drain_s", 2.5},
                         {"retry_ratio", 0.2},
                         {"retry_extra", 40},
                         {"retry_window_s", 10},
                         {"cold_factor", 1.5},
                         {"cold_slack", 5},
                         {"most_shift", 0.15}};
  std::ofstream(m_folder + "/settings.json") << settings.dump();
}

void EdgeVm::WriteConfig() {
  const json config = {
      {"Version", "r1"},
      {"Routes",
       {{"Columns",
         {"Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS",
          "MaxAttempts", "SessionAffinity", "Service"}},
        {"Rows",
         {{"read", "h.example", "/read/", "idempotent", 60.0, 30.0, 2, true,
           "reads"}}}}},
      {"Services",
       {{"Columns", {"Name", "MaxConns", "ColdStartS", "ColdPerS"}},
        {"Rows", {{"reads", 2000, 0, 0}}}}},
      {"Limits",
       {{"MaxHeaderBytes", kMaxHeadBytes},
        {"MaxBodyBytes", kMaxBodyBytes},
        {"HeaderTimeoutS", 3},
        {"IdleTimeoutS", 15}}}};
  m_store.PutText(platform::kConfigKey, config.dump());
  const json server = {
      {"Service", "reads"}, {"Address", AddressText(Ip(2), kServerPort)},
      {"Zone", "d1"},       {"Version", "v1"},
      {"Slots", 1000},      {"State", "ready"},
      {"ColdLeftS", 0},     {"Sequence", 1}};
  m_store.PutText(std::string(platform::kServerPrefix) + "i-1", server.dump());
}

void EdgeVm::Serve(const HttpRequest& request, const HttpReply& reply) {
  const ProxyHeaderNames names = platform::HeaderNames();
  if (request.m_path.starts_with(m_options.m_unanswered_prefix)) {
    m_unanswered.push_back(reply);
    return;
  }
  HttpResponse response;
  response.m_headers = {
      {names.m_request_id, request.Header(names.m_request_id).value_or("")},
      {names.m_stamp, "i-1"},
      {names.m_load, "0,0,1000"}};
  response.m_body.assign(m_options.m_response_bytes, 'r');
  reply(std::move(response));
}

bool EdgeVm::RunUntil(const std::function<bool()>& condition,
                      Duration longest) {
  const TimePoint by = SteadyNow() + longest;
  m_io.restart();
  while (!condition()) {
    if (SteadyNow() >= by) {
      return false;
    }
    m_io.run_one_for(milliseconds(10));
  }
  return true;
}

void EdgeVm::RunFor(Duration time) {
  RunUntil([] { return false; }, time);
}

bool EdgeVm::IsRequestServed(const std::string& path, const std::string& body) {
  HttpClient client(m_io);
  const tcp::endpoint to = EndpointOf(Listener::kClients);
  for (int attempt = 0; attempt < kMaxAttempts && IsAlive(); ++attempt) {
    HttpFetch fetch;
    fetch.m_method = body.empty() ? "GET" : "POST";
    fetch.m_body = body;
    fetch.m_url =
        "http://" + AddressText(to.address().to_string(), to.port()) + path;
    fetch.m_headers = {
        {"host", "h.example"},
        {platform::HeaderNames().m_request_id, std::to_string(attempt)},
        {platform::HeaderNames().m_deadline_ms, "10000"}};
    fetch.m_timeout = kPatience;
    fetch.m_connect_timeout = seconds(5);
    fetch.m_fresh_connection = true;
    std::optional<HttpResult> result;
    client.Start(std::move(fetch),
                 [&result](HttpResult end) { result = std::move(end); });
    RunUntil([&result] { return result.has_value(); }, 2 * kPatience);
    if (result && result->m_end == FetchOutcome::kAnswered &&
        result->m_response.m_status == 200) {
      return result->m_response.m_body.size() == m_options.m_response_bytes;
    }
    RunFor(kPause);
  }
  return false;
}

bool EdgeVm::IsAlive() {
  m_has_ended = m_has_ended || m_child->Poll().m_has_exited;
  return !m_has_ended;
}

size_t EdgeVm::PeakMemory() {
  m_last_peak = std::max(m_last_peak, m_child->PeakMemoryBytes());
  return m_last_peak;
}

size_t EdgeVm::OpenDescriptors() const {
  std::error_code missing;
  const fs::directory_iterator listed(
      "/proc/" + std::to_string(m_child->Pid()) + "/fd", missing);
  return missing ? 0
                 : static_cast<size_t>(
                       std::distance(fs::begin(listed), fs::end(listed)));
}

}  // namespace sorrelplank
