/// @file path_bench.cc Load from one client against one process at a time.

#include "bench/path_bench.h"

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "bench/bench_report.h"
#include "bench/process_usage.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standin/fleet.h"

namespace sorrelplank {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kConcurrency = 16;
constexpr Duration kRunTime = seconds(3);

/// Results of a pool of callers.
struct PoolResult {
  double m_per_second = 0;
  double m_p50_ms = 0;
};

/// Sends the same request repeatedly, with the given number in flight.
PoolResult RunPool(const HttpFetch& fetch, int concurrency) {
  asio::io_context io{1};
  HttpClient client(io);
  std::vector<double> latencies;
  const auto ends = Clock::now() + kRunTime;
  int open = 0;
  std::function<void()> next = [&] {
    if (Clock::now() >= ends) {
      return;
    }
    ++open;
    const auto started = Clock::now();
    client.Start(fetch, [&, started](const HttpResult& result) {
      --open;
      if (result.m_response.m_status == 200) {
        const std::chrono::duration<double, std::milli> took =
            Clock::now() - started;
        latencies.push_back(took.count());
      }
      next();
    });
  };
  for (int caller = 0; caller < concurrency; ++caller) {
    next();
  }
  while (open > 0) {
    io.run_one_for(std::chrono::milliseconds(10));
  }
  std::sort(latencies.begin(), latencies.end());
  PoolResult result;
  result.m_per_second = static_cast<double>(latencies.size()) /
                        std::chrono::duration<double>(kRunTime).count();
  result.m_p50_ms = latencies.empty() ? 0 : latencies[latencies.size() / 2];
  return result;
}

/// An HTTP server that responds with a constant body, on its own thread.
class BareServer {
 public:
  BareServer(const std::string& ip, uint16_t port, std::string body)
      : m_server(m_io,
                 ip,
                 port,
                 {},
                 [body = std::move(body)](const HttpRequest&,
                                          const HttpReply& reply) {
                   HttpResponse response;
                   response.m_body = body;
                   reply(std::move(response));
                 }),
        m_thread([this] { m_io.run(); }) {}
  ~BareServer() {
    m_io.stop();
    m_thread.join();
  }
  BareServer(const BareServer&) = delete;
  BareServer& operator=(const BareServer&) = delete;

 private:
  asio::io_context m_io{1};
  HttpServer m_server;
  std::thread m_thread;
};

}  // namespace

void BenchPath(const std::string& binaries, const std::string& examples) {
  Fleet fleet(binaries, examples + "/trasa");
  // With a run time of 0 only the request path is measured.
  for (const Service& service : fleet.Config().m_services) {
    fleet.SetRunTime(service.m_name, 0.0);
  }
  fleet.StartPlatform();
  fleet.StartBackends();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::string place = fleet.Vms().front().m_place;
  std::vector<FleetVm> vms;
  for (const FleetVm& vm : fleet.Vms()) {
    if (vm.m_place == place) {
      vms.push_back(vm);
    }
  }
  fleet.StartVm(vms.front().m_name);
  fleet.Run({"apply", fleet.Folder(), "--platform", Fleet::PlatformAddress()});
  fleet.WaitReady({vms.front().m_name}, seconds(20));
  const pid_t pid = fleet.PidOf(vms.front().m_name);
  ReportBench("serve_idle_resident", ReadProcessUsage(pid).m_resident_bytes,
              "bytes", 40.0 * 1024 * 1024);

  const std::string base = "http://" + vms.front().m_ip + ":8080";
  HttpFetch lookup;
  lookup.m_url = base + "/v1/lookup?client=10.1.0.7";
  const std::string body = fleet.HttpCall("GET", lookup.m_url, "");
  const PoolResult lookups = RunPool(lookup, kConcurrency);
  PoolResult bare;
  {
    const BareServer server("127.9.0.9", 9401, body);
    HttpFetch constant;
    constant.m_url = "http://127.9.0.9:9401/v1/lookup?client=10.1.0.7";
    bare = RunPool(constant, kConcurrency);
  }
  ReportBench("lookups_per_s", lookups.m_per_second, "1/s", bare.m_per_second);

  const BackendServer* backend = nullptr;
  for (const BackendServer& candidate : fleet.Config().m_backends) {
    const bool is_here = fleet.Config().Get(candidate.m_place).m_name == place;
    const Service& service = fleet.Config().Get(candidate.m_service);
    if (is_here && service.m_name == "hours-lookup") {
      backend = &candidate;
    }
  }
  constexpr int kProxyConcurrency = 4;
  HttpFetch direct;
  direct.m_method = "POST";
  direct.m_body = "hours of driver 4711";
  direct.m_url = "http://" + backend->m_ip + ":9000/records";
  const PoolResult direct_result = RunPool(direct, kProxyConcurrency);
  HttpFetch proxied = direct;
  proxied.m_url = base + "/v1/call/hours-lookup/records";
  const ProcessUsage before = ReadProcessUsage(pid);
  const PoolResult proxied_result = RunPool(proxied, kProxyConcurrency);
  const double cpu = ReadProcessUsage(pid).m_cpu_seconds - before.m_cpu_seconds;
  ReportBench("proxied_added_p50",
              proxied_result.m_p50_ms - direct_result.m_p50_ms, "ms",
              direct_result.m_p50_ms);
  const double per_core = proxied_result.m_per_second *
                          std::chrono::duration<double>(kRunTime).count() / cpu;
  ReportBench("proxied_per_core_vs_direct_per_s", per_core, "1/core/s",
              direct_result.m_per_second);
}

}  // namespace sorrelplank
