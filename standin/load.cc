/// @file load.cc Lookups, requests and retries of simulated callers.

#include "standin/load.h"

#include <algorithm>
#include <asio.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "net/http_client.h"

namespace sorrelplank {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kCallerPort = 8080;
constexpr Duration kLookupTimeout = milliseconds(500);
constexpr Duration kRequestTimeout = seconds(5);
constexpr size_t kMaxSends = 4;

/// An entry VM in a lookup result.
struct LookupVm {
  std::string m_id;
  std::string m_address;
};

/// A lookup result that a caller caches until its time to live ends.
struct CachedLookup {
  std::vector<LookupVm> m_vms;
  Clock::time_point m_end_time{};
};

/// A request of a caller, from the lookup to the last retry.
struct PendingRequest {
  const ServiceLoad* m_service = nullptr;
  std::string m_client;
  std::string m_key;
  std::string m_body;
  Clock::time_point m_started{};
  std::vector<LookupVm> m_vms;
  size_t m_next_vm = 0;
  std::string m_tried;
  size_t m_sends = 0;
};
using PendingRequestPtr = std::shared_ptr<PendingRequest>;

std::string HeaderValue(const HttpResponse& response, const std::string& name) {
  for (const auto& [field, value] : response.m_headers) {
    if (field == name) {
      return value;
    }
  }
  return "";
}

Duration Percentile(std::vector<Duration> values, double fraction) {
  if (values.empty()) {
    return Duration::zero();
  }
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
  return values[at];
}

}  // namespace

class Load::Impl {
 public:
  Impl(const Fleet& fleet, std::vector<ServiceLoad> services, uint64_t seed)
      : m_fleet(fleet),
        m_services(std::move(services)),
        m_random(seed),
        m_client(m_io) {}

  void RunFor(Duration duration, const std::function<void(int)>& hook) {
    m_end_time = Clock::now() + duration;
    for (const ServiceLoad& service : m_services) {
      auto timer = std::make_shared<asio::steady_timer>(m_io);
      timer->expires_after(milliseconds(0));
      ScheduleNext(service, timer);
    }
    asio::steady_timer second(m_io);
    int count = 0;
    std::function<void()> tick = [&] {
      second.expires_after(seconds(1));
      second.async_wait([&](std::error_code) {
        hook(++count);
        if (Clock::now() < m_end_time) {
          tick();
        }
      });
    };
    tick();
    const auto give_up_time = m_end_time + kRequestTimeout * 2;
    m_io.restart();
    while (Clock::now() < m_end_time ||
           (m_open_requests > 0 && Clock::now() < give_up_time)) {
      m_io.run_one_for(std::chrono::milliseconds(20));
    }
  }

  void CheckRuns(const std::vector<json>& stats) {
    std::map<std::string, uint64_t> runs;
    for (const json& server : stats) {
      for (const auto& [key, count] : server["runs_by_key"].items()) {
        runs[key] += count.get<uint64_t>();
      }
    }
    for (const auto& [key, end] : m_outcomes_by_key) {
      ServiceTally& tally = m_tallies[end.m_service];
      const auto it = runs.find(key);
      const uint64_t count = it == runs.end() ? 0 : it->second;
      tally.m_doubled += count > 1 ? 1 : 0;
      const bool is_lost = (end.m_verdict == "ran" && count == 0) ||
                           (end.m_verdict == "not_run" && count > 0);
      tally.m_lost += is_lost ? 1 : 0;
    }
  }

  const std::map<std::string, ServiceTally>& Tallies() const {
    return m_tallies;
  }

 private:
  /// Verdict that the caller of a request with a key received.
  struct KeyOutcome {
    std::string m_service;
    std::string m_verdict;
  };

  void ScheduleNext(const ServiceLoad& service,
                    const std::shared_ptr<asio::steady_timer>& timer) {
    std::exponential_distribution<double> gap(service.m_per_second);
    timer->expires_at(timer->expiry() +
                      std::chrono::duration_cast<Clock::duration>(
                          std::chrono::duration<double>(gap(m_random))));
    timer->async_wait([this, &service, timer](std::error_code error) {
      if (error || Clock::now() >= m_end_time) {
        return;
      }
      StartRequest(service);
      ScheduleNext(service, timer);
    });
  }

  std::string PickClient() {
    std::uniform_int_distribution<int> byte(0, 255);
    std::uniform_int_distribution<int> place(1, 6);
    // Few distinct caller addresses, so that cached lookups are reused.
    return "10." + std::to_string(place(m_random)) + "." +
           std::to_string(byte(m_random) % 32) + ".7";
  }

  void StartRequest(const ServiceLoad& service) {
    auto request = std::make_shared<PendingRequest>();
    request->m_service = &service;
    request->m_client = PickClient();
    const uint64_t number = m_next_number++;
    request->m_key = "k" + std::to_string(number);
    request->m_body =
        "request " + std::to_string(number) + " of " + request->m_client;
    request->m_started = Clock::now();
    ++m_open_requests;
    ++m_tallies[service.m_service].m_sent;
    const CachedLookup& cached = m_cached_lookups[request->m_client];
    if (cached.m_end_time > Clock::now()) {
      request->m_vms = cached.m_vms;
      Send(request);
      return;
    }
    Lookup(request, 0);
  }

  void Lookup(const PendingRequestPtr& request, size_t attempts) {
    if (attempts > 6) {
      Finish(request, "not_run", "no_lookup", false);
      return;
    }
    const auto& vms = m_fleet.Vms();
    std::uniform_int_distribution<size_t> pick(0, vms.size() - 1);
    HttpFetch fetch;
    fetch.m_url = "http://" + vms[pick(m_random)].m_ip + ":" +
                  std::to_string(kCallerPort) +
                  "/v1/lookup?client=" + request->m_client;
    fetch.m_timeout = kLookupTimeout;
    m_client.Start(
        std::move(fetch), [this, request, attempts](const HttpResult& result) {
          const json response_body =
              json::parse(result.m_response.m_body, nullptr, false);
          if (result.m_end != FetchOutcome::kAnswered ||
              result.m_response.m_status != 200 ||
              response_body["entry_vms"].empty()) {
            Lookup(request, attempts + 1);
            return;
          }
          CachedLookup& cached = m_cached_lookups[request->m_client];
          cached.m_vms.clear();
          for (const json& vm : response_body["entry_vms"]) {
            cached.m_vms.push_back({vm["id"], vm["ip"].get<std::string>() +
                                                  ":" + vm["port"].dump()});
          }
          cached.m_end_time =
              Clock::now() + milliseconds(response_body["ttl_ms"].get<int>());
          request->m_vms = cached.m_vms;
          Send(request);
        });
  }

  void Send(const PendingRequestPtr& request) {
    const LookupVm& vm =
        request->m_vms[request->m_next_vm % request->m_vms.size()];
    HttpFetch fetch;
    fetch.m_method = "POST";
    fetch.m_url = "http://" + vm.m_address + "/v1/call/" +
                  request->m_service->m_service + "/records";
    fetch.m_headers = {{"sorrelplank-client", request->m_client}};
    if (!request->m_service->m_idempotent) {
      fetch.m_headers.emplace_back("sorrelplank-key", request->m_key);
      fetch.m_headers.emplace_back("sorrelplank-tried", request->m_tried.empty()
                                                            ? "none"
                                                            : request->m_tried);
      fetch.m_fresh_connection = true;
    }
    fetch.m_body = request->m_body;
    fetch.m_timeout = kRequestTimeout;
    ++request->m_sends;
    m_client.Start(std::move(fetch),
                   [this, request, id = vm.m_id](const HttpResult& result) {
                     ClassifyResponse(request, id, result);
                   });
  }

  void ClassifyResponse(const PendingRequestPtr& request,
                        const std::string& vm_id,
                        const HttpResult& result) {
    if (result.m_end != FetchOutcome::kAnswered) {
      if (result.m_end != FetchOutcome::kConnectFailed) {
        request->m_tried += (request->m_tried.empty() ? "" : ",") + vm_id;
      }
      m_cached_lookups.erase(request->m_client);
      ++request->m_next_vm;
      if (request->m_sends < kMaxSends) {
        Send(request);
        return;
      }
      Finish(request, request->m_tried.empty() ? "not_run" : "may_have_run",
             "no_answer", false);
      return;
    }
    const std::string verdict =
        HeaderValue(result.m_response, "sorrelplank-verdict");
    const std::string reason =
        HeaderValue(result.m_response, "sorrelplank-reason");
    if (verdict == "ran" && result.m_response.m_status == 200) {
      const json response_body =
          json::parse(result.m_response.m_body, nullptr, false);
      const bool is_own = response_body.is_object() &&
                          response_body.value("echo", "") == request->m_body;
      Finish(request, verdict, reason, !is_own);
      return;
    }
    Finish(request, verdict.empty() ? "may_have_run" : verdict, reason, false);
  }

  void Finish(const PendingRequestPtr& request,
              const std::string& verdict,
              const std::string& reason,
              bool is_wrong) {
    --m_open_requests;
    ServiceTally& tally = m_tallies[request->m_service->m_service];
    tally.m_wrong += is_wrong ? 1 : 0;
    if (verdict == "ran") {
      ++tally.m_answered;
      tally.m_latencies.push_back(std::chrono::duration_cast<Duration>(
          Clock::now() - request->m_started));
    } else {
      ++(verdict == "not_run" ? tally.m_not_run : tally.m_may_have_run);
      ++tally.m_reasons[reason];
    }
    if (!request->m_service->m_idempotent) {
      m_outcomes_by_key[request->m_key] = {request->m_service->m_service,
                                           verdict};
    }
  }

  const Fleet& m_fleet;
  std::vector<ServiceLoad> m_services;
  std::mt19937_64 m_random;
  asio::io_context m_io{1};
  HttpClient m_client;
  Clock::time_point m_end_time{};
  uint64_t m_next_number = 1;
  uint64_t m_open_requests = 0;
  std::map<std::string, CachedLookup> m_cached_lookups;
  std::map<std::string, ServiceTally> m_tallies;
  std::map<std::string, KeyOutcome> m_outcomes_by_key;
};

std::vector<ServiceLoad> MakeLoad(const Snapshot& config, double fraction) {
  std::vector<ServiceLoad> load;
  for (size_t at = 0; at < config.m_services.size(); ++at) {
    const Service& service = config.m_services[at];
    double slots = 0;
    for (const BackendServer& backend : config.m_backends) {
      slots += backend.m_service.Get() == at ? backend.m_slots : 0;
    }
    load.push_back(
        {service.m_name, service.m_idempotent,
         fraction * slots * 1000 / ToMilliseconds(service.m_expected_run)});
  }
  return load;
}

Load::Load(const Fleet& fleet, std::vector<ServiceLoad> services, uint64_t seed)
    : m_impl(std::make_unique<Impl>(fleet, std::move(services), seed)) {}

Load::~Load() = default;

void Load::RunFor(Duration duration, const std::function<void(int)>& hook) {
  m_impl->RunFor(duration, hook);
}

void Load::CheckRuns(const std::vector<json>& stats) {
  m_impl->CheckRuns(stats);
}

const std::map<std::string, ServiceTally>& Load::Tallies() const {
  return m_impl->Tallies();
}

ServiceTally Load::Total() const {
  ServiceTally total;
  for (const auto& [service, tally] : Tallies()) {
    total.m_sent += tally.m_sent;
    total.m_answered += tally.m_answered;
    total.m_not_run += tally.m_not_run;
    total.m_may_have_run += tally.m_may_have_run;
    total.m_wrong += tally.m_wrong;
    total.m_doubled += tally.m_doubled;
    total.m_lost += tally.m_lost;
  }
  return total;
}

void PrintTallies(const std::map<std::string, ServiceTally>& tallies) {
  std::cout << std::left << std::setw(18) << "SERVICE" << std::right
            << std::setw(7) << "SENT" << std::setw(10) << "ANSWERED"
            << std::setw(9) << "NOT RUN" << std::setw(14) << "MAY HAVE RUN"
            << std::setw(7) << "WRONG" << std::setw(9) << "DOUBLED"
            << std::setw(6) << "LOST" << std::setw(10) << "p50 ms"
            << std::setw(10) << "p99 ms"
            << "\n";
  for (const auto& [service, tally] : tallies) {
    std::cout << std::left << std::setw(18) << service << std::right
              << std::setw(7) << tally.m_sent << std::setw(10)
              << tally.m_answered << std::setw(9) << tally.m_not_run
              << std::setw(14) << tally.m_may_have_run << std::setw(7)
              << tally.m_wrong << std::setw(9) << tally.m_doubled
              << std::setw(6) << tally.m_lost << std::fixed
              << std::setprecision(1) << std::setw(10)
              << ToMilliseconds(Percentile(tally.m_latencies, 0.50))
              << std::setw(10)
              << ToMilliseconds(Percentile(tally.m_latencies, 0.99)) << "\n";
    for (const auto& [reason, count] : tally.m_reasons) {
      std::cout << "    " << (reason.empty() ? "(no reason)" : reason) << " "
                << count << "\n";
    }
  }
}

}  // namespace sorrelplank
