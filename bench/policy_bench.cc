/// @file policy_bench.cc Randomised simulations of all policies and scenarios.

#include "bench/policy_bench.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <vector>

#include "bench/bench_report.h"
#include "trial/run_type.h"

namespace sorrelplank {

namespace {

using trial::Faults;
using trial::RunOptions;
using trial::RunResult;
using trial::SelectionPolicy;

/// A selection policy and its name in the output.
struct NamedPolicy {
  const char* m_name;
  SelectionPolicy m_policy;
};

constexpr NamedPolicy kPolicies[] = {
    {"random", SelectionPolicy::kRandom},
    {"round_robin", SelectionPolicy::kRoundRobin},
    {"least_reported", SelectionPolicy::kLeastReported},
    {"two_choices", SelectionPolicy::kTwoChoices},
    {"product", SelectionPolicy::kProduct}};

/// A load with the faults that are injected.
struct Scenario {
  const char* m_name;
  double m_load;
  Faults m_faults;
};

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all;
  for (const double load : {0.5, 0.7, 0.85, 0.95, 1.2}) {
    all.push_back({"calm", load, {}});
  }
  Faults traffic_burst;
  traffic_burst.m_traffic_burst = true;
  all.push_back({"wave", 0.6, traffic_burst});
  Faults place;
  place.m_place = true;
  all.push_back({"place_leaves", 0.6, place});
  Faults region;
  region.m_region = true;
  all.push_back({"region_lost", 0.6, region});
  Faults frozen_reports;
  frozen_reports.m_frozen_reports = true;
  all.push_back({"reports_frozen", 0.7, frozen_reports});
  Faults false_reports;
  false_reports.m_false_reports = true;
  all.push_back({"reports_lie", 0.7, false_reports});
  return all;
}

/// Latency percentile over all services.
double PercentileMs(const RunResult& result, double share) {
  std::vector<Duration> all;
  for (const auto& [service, latencies] : result.m_latencies) {
    all.insert(all.end(), latencies.begin(), latencies.end());
  }
  if (all.empty()) {
    return 0;
  }
  const auto at =
      static_cast<ptrdiff_t>(share * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), all.begin() + at, all.end());
  return ToMilliseconds(all[static_cast<size_t>(at)]);
}

double AnsweredShare(const RunResult& result) {
  return static_cast<double>(result.m_answered) /
         static_cast<double>(result.m_sent);
}

double WastedShare(const RunResult& result) {
  return static_cast<double>(result.m_wasted_runs) /
         static_cast<double>(std::max<uint64_t>(1, result.m_runs));
}

void RunScenario(const std::string& deployment,
                 const std::string& examples,
                 uint64_t requests,
                 const Scenario& scenario) {
  RunOptions options;
  options.m_deployment = deployment;
  options.m_examples = examples;
  options.m_requests = requests;
  options.m_load = scenario.m_load;
  options.m_faults = scenario.m_faults;
  options.m_policy = SelectionPolicy::kOracle;
  const RunResult oracle = RunBaseline(options);
  for (const NamedPolicy& named : kPolicies) {
    options.m_policy = named.m_policy;
    const RunResult result = named.m_policy == SelectionPolicy::kProduct
                                 ? RunProduct(options)
                                 : RunBaseline(options);
    const std::string name =
        deployment + "_" + scenario.m_name + "_" +
        std::to_string(std::lround(scenario.m_load * 100)) + "_" + named.m_name;
    ReportBench(name + "_p50", PercentileMs(result, 0.5), "ms",
                PercentileMs(oracle, 0.5));
    ReportBench(name + "_p99", PercentileMs(result, 0.99), "ms",
                PercentileMs(oracle, 0.99));
    ReportBench(name + "_p999", PercentileMs(result, 0.999), "ms",
                PercentileMs(oracle, 0.999));
    ReportBench(name + "_answered", AnsweredShare(result), "share",
                AnsweredShare(oracle));
    ReportBench(name + "_headroom", result.m_min_headroom, "share",
                oracle.m_min_headroom);
    ReportBench(name + "_wasted", WastedShare(result), "share",
                WastedShare(oracle));
    if (!result.m_violation.empty()) {
      std::cout << "bench: VIOLATION in " << name << ": " << result.m_violation
                << std::endl;
    }
  }
}

}  // namespace

void BenchPolicy(const std::string& examples, uint64_t requests) {
  for (const char* deployment : {"trasa", "porttivuoro"}) {
    for (const Scenario& scenario : Scenarios()) {
      RunScenario(deployment, examples, requests, scenario);
    }
  }
}

}  // namespace sorrelplank
