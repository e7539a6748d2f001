/// @file steering_bench.cc Ticks of one entry VM in a fleet of 300 entry VMs
/// and 3,000 backend servers.

#include "bench/steering_bench.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "steer/steering.h"

namespace sorrelplank {

namespace {

constexpr int kVms = 300;
constexpr int kServers = 3000;
constexpr int kDomains = 9;
constexpr int kTicks = 50;
constexpr Duration kInterval = milliseconds(100);

std::string DomainOf(int number) {
  return "d" + std::to_string(number % kDomains);
}

std::string RegionOf(int number) {
  return "r" + std::to_string(number % 3);
}

/// Returns the steering of one entry VM in a large fleet.
std::unique_ptr<Steering> MakeSteering(Duration cold_left, TimePoint now) {
  SteeringSettings settings{.m_vm = "vm-0",
                            .m_failure_domain = "d0",
                            .m_region = "r0",
                            .m_regions = {},
                            .m_retry_ratio = 0.2,
                            .m_retry_extra = 430,
                            .m_retry_window = seconds(10),
                            .m_cold_factor = 1.5,
                            .m_cold_slack = 10,
                            .m_max_shift = 0.15};
  for (int domain = 0; domain < kDomains; ++domain) {
    settings.m_regions[DomainOf(domain)] = RegionOf(domain);
  }
  auto steering =
      std::make_unique<Steering>(settings, [](const SteerAction&) {});
  auto table = std::make_shared<RoutingTable>();
  table->m_services["s"] = {.m_name = "s",
                            .m_max_connections = 3600,
                            .m_cold_start = seconds(3),
                            .m_cold_per_second = 2.8};
  steering->Install(table, now);
  std::vector<FleetMember> fleet;
  fleet.reserve(kVms);
  for (int vm = 0; vm < kVms; ++vm) {
    fleet.push_back({"vm-" + std::to_string(vm), "10.0.0.1:80", DomainOf(vm),
                     RegionOf(vm)});
  }
  steering->SetFleet(fleet, now);
  for (int server = 0; server < kServers; ++server) {
    steering->PutServer({"i-" + std::to_string(server),
                         "s",
                         {1, 80},
                         DomainOf(server),
                         6,
                         false,
                         cold_left,
                         {}},
                        now);
  }
  return steering;
}

double MicrosecondsPerTick(Steering& steering, TimePoint now) {
  const auto began = std::chrono::steady_clock::now();
  for (int tick = 0; tick < kTicks; ++tick) {
    now += kInterval;
    steering.Tick(now);
  }
  const auto took = std::chrono::steady_clock::now() - began;
  return std::chrono::duration<double, std::micro>(took).count() / kTicks;
}

}  // namespace

void BenchSteering() {
  const TimePoint now{seconds(100)};
  const double calm_us =
      MicrosecondsPerTick(*MakeSteering({}, now), now + seconds(3));
  ReportBench("regions_measured_calm", calm_us, "us", calm_us);
  const auto stale = MakeSteering({}, now);
  stale->SetDataStale(true);
  ReportBench("regions_measured_cut_off",
              MicrosecondsPerTick(*stale, now + seconds(3)), "us", calm_us);
  const auto cold = MakeSteering(seconds(60), now);
  ReportBench("regions_measured_cold",
              MicrosecondsPerTick(*cold, now + seconds(3)), "us", calm_us);
}

}  // namespace sorrelplank
