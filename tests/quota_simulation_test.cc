/// @file quota_simulation_test.cc Quotas of organisations over many entry VMs.

#include <criterion/criterion.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "trial/quota_simulation.h"

namespace sorrelplank::trial {
namespace {

/// Limit in requests per second, with an equal burst; normal load is five
/// eighths of it.
constexpr double kRate = 40;
constexpr double kNormalRate = 25;
/// An overloading organisation sends this many times its normal load.
constexpr double kOverloadFactor = 7.5;
/// Fractions of the requests within the limit that may be refused.
constexpr double kMaxRefusedWhenCalm = 0.01;
constexpr double kMaxRefusedUnderOverload = 0.03;

Organisation MakeOrganisation(const std::string& name, double rate) {
  return {.m_name = name,
          .m_keys = {},
          .m_priority = std::nullopt,
          .m_rate_per_second = rate,
          .m_burst = rate,
          .m_home_regions = {}};
}

QuotaSimulationOptions Options(uint64_t seed, size_t vms = 12) {
  return {.m_vms = vms, .m_seed = seed};
}

TestSuite(QuotaSimulation, .timeout = 240);

// No organisation exceeds its limit, and every request must pass.
Test(QuotaSimulation, NormalLoad_SmallAndLargeLimits_AllPass) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaSimulation simulation(Options(seed, 76));
    for (const double rate : {2.0, 20.0, 450.0}) {
      simulation.AddOrganisation(MakeOrganisation(std::to_string(rate), rate),
                                 rate * kNormalRate / kRate);
    }
    simulation.Run(seconds(30));
    for (const double rate : {2.0, 20.0, 450.0}) {
      const QuotaResult result = simulation.ResultOf(std::to_string(rate));
      cr_assert_leq(result.Shortfall(), kMaxRefusedWhenCalm,
                    "seed %lu rate %g: %g refused", seed, rate,
                    result.Shortfall());
      cr_assert_leq(result.m_max_window_ratio, 1, "seed %lu rate %g", seed,
                    rate);
    }
  }
}

// One organisation sends 7.5 times its normal load. It gets its limit and no
// more, and the other one gets all of its requests through.
Test(QuotaSimulation, OneOverloads_AllVms_LimitHolds) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaSimulation simulation(Options(seed, 76));
    simulation.AddOrganisation(MakeOrganisation("hot", kRate), kNormalRate);
    simulation.AddOrganisation(MakeOrganisation("calm", kRate), kNormalRate);
    simulation.SetDemand("hot", seconds(5), kNormalRate * kOverloadFactor);
    simulation.SetDemand("hot", seconds(15), kNormalRate);
    simulation.Run(seconds(25));
    cr_assert_leq(simulation.ResultOf("hot").m_max_window_ratio, 1, "seed %lu",
                  seed);
    cr_assert_leq(simulation.ResultOf("hot").Shortfall(),
                  kMaxRefusedUnderOverload, "seed %lu: %g refused", seed,
                  simulation.ResultOf("hot").Shortfall());
    cr_assert_leq(simulation.ResultOf("calm").Shortfall(), kMaxRefusedWhenCalm,
                  "seed %lu", seed);
  }
}

// The clients of an organisation use two of 76 VMs. With equal shares for all
// VMs these would have 2/76 of the limit.
Test(QuotaSimulation, ClientsAtFewVms_NormalLoad_AllPass) {
  QuotaSimulationOptions options = Options(3, 76);
  options.m_client_vms = 2;
  QuotaSimulation simulation(options);
  simulation.AddOrganisation(MakeOrganisation("few", kRate), kNormalRate);
  simulation.Run(seconds(30));
  cr_assert_leq(simulation.ResultOf("few").Shortfall(), kMaxRefusedWhenCalm);
  cr_assert_leq(simulation.ResultOf("few").m_max_window_ratio, 1);
}

/// Four random faults while one organisation overloads.
double WorstWindowUnderFaults(uint64_t seed) {
  std::mt19937_64 random(seed);
  QuotaSimulationOptions options = Options(seed, 12);
  options.m_loss = 0.02;
  QuotaSimulation simulation(options);
  const double rate = seed % 2 == 0 ? 4 : 200;
  simulation.AddOrganisation(MakeOrganisation("hot", rate),
                             rate * kOverloadFactor * kNormalRate / kRate);
  for (int fault = 0; fault < 4; ++fault) {
    const Duration at = milliseconds(3000 + random() % 9000);
    const Duration lasts = milliseconds(300 + random() % 6000);
    const auto vm = static_cast<size_t>(random() % 12);
    switch (random() % 4) {
      case 0:
        simulation.Kill(vm, at, lasts);
        break;
      case 1:
        simulation.Partition({vm, (vm + 3) % 12, (vm + 7) % 12}, at,
                             at + lasts);
        break;
      case 2:
        simulation.KillAll(at, lasts);
        break;
      default:
        simulation.SetLimit("hot", at, rate / 4, rate / 4);
        break;
    }
  }
  simulation.Run(seconds(20));
  return simulation.ResultOf("hot").m_max_window_ratio;
}

// While one organisation overloads, keepers are killed and lose their state;
// all VMs are killed at once; VMs are cut off while they hold tokens; the limit
// is lowered. With any random faults, no window exceeds the bound.
Test(QuotaSimulation, RandomFaults_OneOverloads_LimitHolds) {
  std::string broken;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    const double worst = WorstWindowUnderFaults(seed);
    if (worst > 1) {
      broken += std::to_string(seed) + ": " + std::to_string(worst) + "  ";
    }
  }
  cr_assert(broken.empty(), "seeds and ratios to the bound: %s",
            broken.c_str());
}

// All VMs restart under normal load. Their new buckets start with few tokens;
// soon afterwards all requests must pass again.
Test(QuotaSimulation, AllRestart_NormalLoad_PassesSoon) {
  QuotaSimulation simulation(Options(7, 76));
  simulation.AddOrganisation(MakeOrganisation("usual", kRate), kNormalRate);
  simulation.KillAll(seconds(10), milliseconds(1400));
  simulation.Run(seconds(30));
  cr_assert_leq(simulation.ResultOf("usual").Shortfall(),
                kMaxRefusedUnderOverload, "%g refused",
                simulation.ResultOf("usual").Shortfall());
}

}  // namespace
}  // namespace sorrelplank::trial
