/// @file limit_bench.cc Runs in virtual time.

#include "bench/limit_bench.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include "trial/limit_world.h"

namespace sorrelplank {

namespace {

using trial::LimitResult;
using trial::LimitWorld;
using trial::LimitWorldCounts;

constexpr uint64_t kSeeds = 5;
/// Servers in different regions.
constexpr size_t kFirst = 0;
constexpr size_t kSecond = 4;

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

/// Sums over the seeds, but for the worst window.
struct Sums {
  double m_worst = 0;
  double m_first_used = 0;
  double m_second_used = 0;
  double m_answered = 0;
  double m_answer_ms = 0;
  double m_messages = 0;
};

void Add(const LimitWorld& world, Sums& sums) {
  const LimitResult first = world.ResultOf(kFirst);
  const LimitResult second = world.ResultOf(kSecond);
  const LimitWorldCounts& counts = world.Counts();
  const auto answered = static_cast<double>(counts.m_answered);
  sums.m_worst =
      std::max({sums.m_worst, first.m_worst_window, second.m_worst_window});
  sums.m_first_used += first.m_used;
  sums.m_second_used += second.m_used;
  sums.m_answered += answered / static_cast<double>(counts.m_asked);
  sums.m_answer_ms += ToMilliseconds(counts.m_waited) / answered;
  sums.m_messages += world.MessagesPerSecond();
}

void RunFleet(const Fleet& fleet) {
  Sums sums;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LimitWorld world({.m_vms = fleet.m_vms,
                      .m_servers = fleet.m_servers,
                      .m_seed = seed,
                      .m_per_second = fleet.m_requests_per_second});
    world.SetLimit(kFirst, seconds(8), fleet.m_first_limit);
    world.SetLimit(kSecond, seconds(8), fleet.m_second_limit);
    world.Run(seconds(40));
    Add(world, sums);
  }
  std::printf(
      "%4zu %4zu %6.0f  %5.1f %5.1f  %5.2f  %5.2f %5.2f  %6.4f %6.1f %6.2f\n",
      fleet.m_vms, fleet.m_servers, fleet.m_requests_per_second,
      fleet.m_first_limit, fleet.m_second_limit, sums.m_worst,
      sums.m_first_used / kSeeds, sums.m_second_used / kSeeds,
      sums.m_answered / kSeeds, sums.m_answer_ms / kSeeds,
      sums.m_messages / kSeeds);
}

}  // namespace

void BenchLimits() {
  std::printf(
      "VMs, servers, requests a second; limits of two servers; fullest window "
      "/ bound; part of each limit that is used; part of the requests that is "
      "answered, their mean ms, datagrams a second and VM\n");
  for (const Fleet& fleet : kFleets) {
    RunFleet(fleet);
  }
}

}  // namespace sorrelplank
