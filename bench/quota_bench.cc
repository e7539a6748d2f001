/// @file quota_bench.cc Simulations of quota schemes, and timings of single
/// decisions.

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
#include "trial/quota_simulation.h"

namespace sorrelplank {

namespace {

using trial::QuotaResult;
using trial::QuotaScheme;
using trial::QuotaSimulation;

constexpr size_t kOrganisations = 10000;
constexpr int kRounds = 1'000'000;
/// Typical request rate as a share of the limit.
constexpr double kTypicalDemand = 0.625;

struct NamedScheme {
  QuotaScheme m_scheme;
  const char* m_name;
};

constexpr NamedScheme kSchemes[] = {
    {QuotaScheme::kEqualShares, "equal parts"},
    {QuotaScheme::kOneKeeper, "one keeper"},
    {QuotaScheme::kKeeperPerRegion, "keeper a region"}};

/// Demand and faults of one simulation.
struct Scenario {
  const char* m_name;
  double m_demand_factor;
  size_t m_client_vms;
  bool m_kills_vms;
  bool m_partitions_vms;
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

void RunScenario(const NamedScheme& scheme,
                 const Scenario& scenario,
                 size_t vms) {
  QuotaSimulation simulation({.m_scheme = scheme.m_scheme,
                              .m_vms = vms,
                              .m_seed = 11,
                              .m_client_vms = scenario.m_client_vms});
  const std::vector<double> rates{2, 40, 450};
  for (const double rate : rates) {
    const Organisation organisation = MakeOrganisation(rate);
    simulation.AddOrganisation(organisation, rate * kTypicalDemand);
    simulation.SetDemand(organisation.m_name, seconds(5),
                         rate * kTypicalDemand * scenario.m_demand_factor);
  }
  std::vector<size_t> faulty_vms;
  for (size_t vm = 0; vm < vms; vm += 3) {
    // VMs of a region are three apart; the offset takes VMs of every region.
    faulty_vms.push_back((vm + vm / 3) % vms);
  }
  if (scenario.m_partitions_vms) {
    simulation.Partition(faulty_vms, seconds(8), seconds(16));
  }
  for (const size_t vm : faulty_vms) {
    if (scenario.m_kills_vms) {
      simulation.Kill(vm, seconds(8), seconds(2));
    }
  }
  simulation.Run(seconds(20));
  std::printf("%-16s %4zu  %-32s", scheme.m_name, vms, scenario.m_name);
  for (const double rate : rates) {
    const QuotaResult result =
        simulation.ResultOf(MakeOrganisation(rate).m_name);
    std::printf("  %5.2f %5.1f%%", result.m_max_window_ratio,
                result.Shortfall() * 100);
  }
  std::printf("  %6.1f %7.0f\n", simulation.MessagesPerSecond(),
              simulation.BytesPerSecond());
}

template <typename Step>
double NanosecondsPerStep(const Step& step) {
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    step(round);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - began;
  return took.count() / kRounds;
}

void BenchQuotaDecisions() {
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
  const double lookup_ns = NanosecondsPerStep([&](int round) {
    const auto at = static_cast<size_t>(round) * 31 % kOrganisations;
    found += index.Find(keys[at]) != nullptr ? 1 : 0;
  });
  ReportBench("key_look_up_of_10000_organisations", lookup_ns, "ns", 1000);
  QuotaGate gate({"r0"});
  gate.SetFleet({{"vm-0", "", "d0", "r0"}});
  QuotaKeeper keeper;
  const TimePoint began(seconds(100));
  const double decision_ns = NanosecondsPerStep([&](int round) {
    const auto at = static_cast<size_t>(round) * 31 % kOrganisations;
    const TimePoint now = began + Duration(round * 10);
    const Organisation& organisation = table.m_organisations->at(at);
    gate.Arrived(RequestId(static_cast<uint64_t>(round)),
                 HashOrganisation(organisation.m_name), TermsOf(organisation),
                 now);
    for (const AddressedQuotaRequest& request : gate.TakeQuotaRequests()) {
      gate.TakeGrant(
          keeper.Grant(request.m_quota_request, TermsOf(organisation), 1, now),
          now);
    }
  });
  ReportBench("quota_decision_of_10000_organisations", decision_ns, "ns", 1000);
  if (found != kRounds) {
    std::printf("keys not found: %zu\n", kRounds - found);
  }
}

}  // namespace

void BenchQuotas() {
  std::printf(
      "scheme           VMs   scenario; for limits of 2, 40 and 450 per second "
      "the fullest window / bound and the refused share of the ideal number; "
      "then datagrams and bytes per second and VM\n");
  for (const size_t vms : {12, 76, 195, 710}) {
    for (const Scenario& scenario : kScenarios) {
      for (const NamedScheme& scheme : kSchemes) {
        RunScenario(scheme, scenario, vms);
      }
    }
  }
  BenchQuotaDecisions();
}

}  // namespace sorrelplank
