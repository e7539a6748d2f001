/// @file quota_bench.cc Runs in virtual time, and timings of single decisions.

#include "bench/quota_bench.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "steer/organisation_index.h"
#include "steer/quota_gate.h"
#include "steer/quota_keeper.h"
#include "steer/routing_table_type.h"
#include "trial/quota_world.h"

namespace sorrelplank {

namespace {

using trial::QuotaResult;
using trial::QuotaWay;
using trial::QuotaWorld;

constexpr size_t kOrganisations = 10000;
constexpr int kRounds = 1'000'000;
/// Usual requests as a part of the limit.
constexpr double kUsual = 0.625;

struct WayRow {
  QuotaWay m_way;
  const char* m_name;
};

constexpr WayRow kWays[] = {{QuotaWay::kEqualParts, "equal parts"},
                            {QuotaWay::kOneKeeper, "one keeper"},
                            {QuotaWay::kKeeperOfARegion, "keeper a region"}};

/// Something that happens while requests come.
struct Scenario {
  const char* m_name;
  double m_times_usual;
  size_t m_vms_of_clients;
  bool m_kills_some;
  bool m_cuts_some;
};

constexpr Scenario kScenarios[] = {
    {"usual", 1, 0, false, false},
    {"usual, clients at 3 VMs", 1, 3, false, false},
    {"7.5 x usual", 7.5, 0, false, false},
    {"usual, a third killed for 2 s", 1, 0, true, false},
    {"usual, a third cut off for 8 s", 1, 0, false, true},
    {"7.5 x, a third cut off for 8 s", 7.5, 0, false, true}};

Organisation MakeOrganisation(double rate) {
  return {.m_name = "limit " + std::to_string(static_cast<int>(rate)),
          .m_keys = {},
          .m_priority = std::nullopt,
          .m_rate_per_second = rate,
          .m_burst = rate,
          .m_home_regions = {}};
}

void RunScenario(const WayRow& way, const Scenario& scenario, size_t vms) {
  QuotaWorld world({.m_way = way.m_way,
                    .m_vms = vms,
                    .m_seed = 11,
                    .m_vms_of_clients = scenario.m_vms_of_clients});
  const std::vector<double> rates{2, 40, 450};
  for (const double rate : rates) {
    const Organisation organisation = MakeOrganisation(rate);
    world.AddOrganisation(organisation, rate * kUsual);
    world.SetDemand(organisation.m_name, seconds(5),
                    rate * kUsual * scenario.m_times_usual);
  }
  std::vector<size_t> some;
  for (size_t vm = 0; vm < vms; vm += 3) {
    // Of every region: VMs of a region are three apart.
    some.push_back((vm + vm / 3) % vms);
  }
  if (scenario.m_cuts_some) {
    world.Cut(some, seconds(8), seconds(16));
  }
  for (const size_t vm : some) {
    if (scenario.m_kills_some) {
      world.Kill(vm, seconds(8), seconds(2));
    }
  }
  world.Run(seconds(20));
  std::printf("%-16s %4zu  %-32s", way.m_name, vms, scenario.m_name);
  for (const double rate : rates) {
    const QuotaResult result = world.ResultOf(MakeOrganisation(rate).m_name);
    std::printf("  %5.2f %5.1f%%", result.m_worst_window,
                result.Shortfall() * 100);
  }
  std::printf("  %6.1f %7.0f\n", world.MessagesPerSecond(),
              world.BytesPerSecond());
}

template <typename Step>
double NanosecondsEach(const Step& step) {
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    step(round);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - began;
  return took.count() / kRounds;
}

void BenchDecisionsOnQuotas() {
  RoutingTable table;
  table.m_organisations.emplace();
  std::vector<std::string> keys;
  for (size_t number = 0; number < kOrganisations; ++number) {
    Organisation organisation = MakeOrganisation(static_cast<double>(number));
    organisation.m_rate_per_second = 1e6;
    organisation.m_keys = {"key-" + std::to_string(number * 7919)};
    keys.push_back(organisation.m_keys[0]);
    table.m_organisations->push_back(organisation);
  }
  const OrganisationIndex index(table);
  size_t found = 0;
  const double look_up = NanosecondsEach([&](int round) {
    const auto at = static_cast<size_t>(round) * 31 % kOrganisations;
    found += index.Find(keys[at]) != nullptr ? 1 : 0;
  });
  ReportBench("key_look_up_of_10000_organisations", look_up, "ns", 1000);
  QuotaGate gate({"r0"});
  gate.SetFleet({{"vm-0", "", "d0", "r0"}});
  QuotaKeeper keeper;
  const TimePoint began(seconds(100));
  const double decision = NanosecondsEach([&](int round) {
    const auto at = static_cast<size_t>(round) * 31 % kOrganisations;
    const TimePoint now = began + Duration(round * 10);
    const Organisation& organisation = table.m_organisations->at(at);
    gate.Arrived(RequestId(static_cast<uint64_t>(round)),
                 HashOrganisation(organisation.m_name), TermsOf(organisation),
                 now);
    for (const AddressedQuotaRequest& question : gate.TakeQuotaRequests()) {
      gate.TakeGrant(
          keeper.Grant(question.m_quota_request, TermsOf(organisation), 1, now),
          now);
    }
  });
  ReportBench("quota_decision_of_10000_organisations", decision, "ns", 1000);
  if (found != kRounds) {
    std::printf("keys not found: %zu\n", kRounds - found);
  }
}

}  // namespace

void BenchQuotas() {
  std::printf(
      "way              VMs   scenario; for limits of 2, 40 and 450 a second "
      "the fullest window / bound and the part refused of what is owed; then "
      "datagrams and bytes a second and VM\n");
  for (const size_t vms : {12, 76, 195, 710}) {
    for (const Scenario& scenario : kScenarios) {
      for (const WayRow& way : kWays) {
        RunScenario(way, scenario, vms);
      }
    }
  }
  BenchDecisionsOnQuotas();
}

}  // namespace sorrelplank
