/// @file spread_bench.cc Idle fleets on loopback.

#include "bench/spread_bench.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/bench_report.h"
#include "bench/process_usage.h"
#include "standin/fleet.h"

namespace sorrelplank {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kFleets[] = {2, 4, 8, 12};
constexpr Duration kMeasureTime = seconds(6);
constexpr int kChanges = 7;
constexpr double kCpuBudgetCores = 0.029;
constexpr double kBytesPerSecondBudget = 12.0 * 1024;
constexpr double kMemoryBudgetBytes = 128.0 * 1024 * 1024;
constexpr double kSpreadBudgetMs = 6000;

/// Reads a metric of one entry VM; returns 0 if it can't be read.
double ReadMetric(Fleet& fleet, const std::string& vm, const char* name) {
  std::istringstream text(fleet.HttpCall(
      "GET", "http://" + fleet.OperatorAddress(vm) + "/metrics", ""));
  std::string line;
  while (std::getline(text, line)) {
    if (line.starts_with(name)) {
      return std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return 0;
}

double PlatformCalls(Fleet& fleet) {
  const auto stats = nlohmann::json::parse(fleet.PlatformStats());
  double calls = 0;
  for (const auto& [method, count] : stats["calls"].items()) {
    calls += count.get<double>();
  }
  return calls;
}

uint64_t VersionOf(Fleet& fleet, const std::string& vm) {
  const auto status = nlohmann::json::parse(
      fleet.HttpCall("GET",
                     "http://" + fleet.OperatorAddress(vm) + "/v1/status", ""),
      nullptr, false);
  return status.is_object() ? status.value("version", uint64_t{0}) : 0;
}

void MeasureIdle(Fleet& fleet, const std::vector<std::string>& vms) {
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double seconds_measured =
      std::chrono::duration<double>(kMeasureTime).count();
  double cpu = 0;
  double bytes = 0;
  double resident = 0;
  const double calls_before = PlatformCalls(fleet);
  for (const std::string& vm : vms) {
    cpu -= ReadProcessUsage(fleet.PidOf(vm)).m_cpu_seconds;
    bytes -= ReadMetric(fleet, vm, "sorrelplank_control_bytes_total{");
  }
  std::this_thread::sleep_for(kMeasureTime);
  for (const std::string& vm : vms) {
    const ProcessUsage use = ReadProcessUsage(fleet.PidOf(vm));
    cpu += use.m_cpu_seconds;
    bytes += ReadMetric(fleet, vm, "sorrelplank_control_bytes_total{");
    resident = std::max(resident, use.m_resident_bytes);
  }
  const double count = static_cast<double>(vms.size()) * seconds_measured;
  const std::string at = "_of_" + std::to_string(vms.size()) + "_processes";
  ReportBench("idle_cores_per_process" + at, cpu / count, "cores",
              kCpuBudgetCores);
  ReportBench("idle_control_bytes_per_process" + at, bytes / count, "bytes/s",
              kBytesPerSecondBudget);
  ReportBench("idle_most_resident" + at, resident, "bytes", kMemoryBudgetBytes);
  ReportBench("platform_calls" + at,
              (PlatformCalls(fleet) - calls_before) / seconds_measured, "1/s",
              2000);
}

/// Milliseconds from the start of `apply` until all entry VMs use the new
/// version; stops waiting after 10 s.
double MeasureChange(Fleet& fleet,
                     const std::vector<std::string>& vms,
                     int number) {
  std::ofstream(fleet.Folder() + "/90-note.json")
      << R"({"regions":{"note)" << number << "\":{}}}";
  const auto started = Clock::now();
  fleet.Run({"apply", fleet.Folder(), "--platform", Fleet::PlatformAddress()});
  const auto version = static_cast<uint64_t>(number) + 1;
  for (const std::string& vm : vms) {
    while (VersionOf(fleet, vm) < version &&
           Clock::now() - started < std::chrono::seconds(10)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  const std::chrono::duration<double, std::milli> took = Clock::now() - started;
  return took.count();
}

}  // namespace

void BenchSpread(const std::string& binaries, const std::string& examples) {
  for (const int count : kFleets) {
    Fleet fleet(binaries, examples + "/trasa");
    fleet.StartPlatform();
    fleet.StartBackends();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::vector<std::string> vms;
    for (int at = 0; at < count; ++at) {
      vms.push_back(fleet.Vms()[static_cast<size_t>(at)].m_name);
      fleet.StartVm(vms.back());
    }
    fleet.Run(
        {"apply", fleet.Folder(), "--platform", Fleet::PlatformAddress()});
    fleet.WaitReady(vms, seconds(30));
    MeasureIdle(fleet, vms);
    if (count != kFleets[std::size(kFleets) - 1]) {
      continue;
    }
    std::vector<double> times;
    for (int number = 1; number <= kChanges; ++number) {
      times.push_back(MeasureChange(fleet, vms, number));
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }
    std::sort(times.begin(), times.end());
    ReportBench("change_in_force_median_of_7", times[times.size() / 2], "ms",
                kSpreadBudgetMs);
    ReportBench("change_in_force_longest_of_7", times.back(), "ms",
                kSpreadBudgetMs);
  }
}

}  // namespace sorrelplank
