/// @file limit_bench.cc Simulations of servers that announce limits.

#include "bench/limit_bench.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include "trial/limit_simulation.h"

namespace sorrelplank {

namespace {

using trial::LimitResult;
using trial::LimitSimulation;
using trial::LimitSimulationCounts;

constexpr uint64_t kSeeds = 5;
/// Servers with a limit, in different regions.
constexpr size_t kFirstServer = 0;
constexpr size_t kSecondServer = 4;

struct Fleet {
  size_t m_vms;
  size_t m_servers;
  double m_requests_per_second;
  double m_first_limit;
  double m_second_limit;
};

constexpr Fleet kFleets[] = {{12, 14, 117, 3.3, 1.7},
                             {12, 14, 117, 0.5, 12},
                             {84, 249, 1156, 3.3, 1.7},
                             {195, 279, 1299, 2, 20}};

/// Sums over all seeds, but the maximum for the window ratio.
struct Sums {
  double m_max_window_ratio = 0;
  double m_first_used = 0;
  double m_second_used = 0;
  double m_answered = 0;
  double m_answer_ms = 0;
  double m_messages = 0;
};

void Add(const LimitSimulation& simulation, Sums& sums) {
  const LimitResult first = simulation.ResultOf(kFirstServer);
  const LimitResult second = simulation.ResultOf(kSecondServer);
  const LimitSimulationCounts& counts = simulation.Counts();
  const auto answered = static_cast<double>(counts.m_answered);
  sums.m_max_window_ratio =
      std::max({sums.m_max_window_ratio, first.m_max_window_ratio,
                second.m_max_window_ratio});
  sums.m_first_used += first.m_used_share;
  sums.m_second_used += second.m_used_share;
  sums.m_answered += answered / static_cast<double>(counts.m_arrived);
  sums.m_answer_ms += ToMilliseconds(counts.m_total_latency) / answered;
  sums.m_messages += simulation.MessagesPerSecond();
}

void RunFleet(const Fleet& fleet) {
  Sums sums;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LimitSimulation simulation({.m_vms = fleet.m_vms,
                                .m_servers = fleet.m_servers,
                                .m_seed = seed,
                                .m_per_second = fleet.m_requests_per_second});
    simulation.SetLimit(kFirstServer, seconds(8), fleet.m_first_limit);
    simulation.SetLimit(kSecondServer, seconds(8), fleet.m_second_limit);
    simulation.Run(seconds(40));
    Add(simulation, sums);
  }
  std::printf(
      "%4zu %4zu %6.0f  %5.1f %5.1f  %5.2f  %5.2f %5.2f  %6.4f %6.1f %6.2f\n",
      fleet.m_vms, fleet.m_servers, fleet.m_requests_per_second,
      fleet.m_first_limit, fleet.m_second_limit, sums.m_max_window_ratio,
      sums.m_first_used / kSeeds, sums.m_second_used / kSeeds,
      sums.m_answered / kSeeds, sums.m_answer_ms / kSeeds,
      sums.m_messages / kSeeds);
}

}  // namespace

void BenchLimits() {
  std::printf(
      "VMs, servers, requests per second; limits of two servers; highest "
      "window / bound; used share of each limit; share of the requests that "
      "are answered, their mean ms; datagrams per second and VM\n");
  for (const Fleet& fleet : kFleets) {
    RunFleet(fleet);
  }
}

}  // namespace sorrelplank
