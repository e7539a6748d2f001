/// @file trial_main.cc Command line of the randomised simulations.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "trial/run_type.h"

namespace sorrelplank::trial {
namespace {

/// A flag of a struct and its name on the command line.
template <typename Struct>
struct NamedFlag {
  const char* m_name;
  bool Struct::*m_flag;
};

constexpr NamedFlag<Faults> kFaults[] = {
    {"kill", &Faults::m_kill},          {"pause", &Faults::m_pause},
    {"cut", &Faults::m_partition},      {"drain", &Faults::m_drain},
    {"stop", &Faults::m_stop},          {"wave", &Faults::m_traffic_burst},
    {"place", &Faults::m_place},        {"region", &Faults::m_region},
    {"lie", &Faults::m_false_reports},  {"freeze", &Faults::m_frozen_reports},
    {"late", &Faults::m_late_requests}, {"shift", &Faults::m_shift}};

constexpr NamedFlag<Safeguards> kSafeguards[] = {
    {"takeover_wait", &Safeguards::m_takeover_wait},
    {"pause_fence", &Safeguards::m_pause_fence},
    {"retry_only_not_run", &Safeguards::m_retry_only_not_run},
    {"shift_cap", &Safeguards::m_shift_cap},
    {"home_reserve", &Safeguards::m_home_reserve},
    {"leaving_stops", &Safeguards::m_leaving_stops},
    {"key_memory", &Safeguards::m_key_memory},
    {"abort_grace", &Safeguards::m_abort_grace},
    {"version_floor", &Safeguards::m_version_floor}};

/// A selection policy and its name on the command line.
struct NamedPolicy {
  const char* m_name;
  SelectionPolicy m_policy;
};

constexpr NamedPolicy kPolicies[] = {
    {"product", SelectionPolicy::kProduct},
    {"random", SelectionPolicy::kRandom},
    {"round_robin", SelectionPolicy::kRoundRobin},
    {"least_reported", SelectionPolicy::kLeastReported},
    {"two_choices", SelectionPolicy::kTwoChoices},
    {"oracle", SelectionPolicy::kOracle}};

/// Sets the flags that a comma-separated list names; returns false if a name is
/// unknown.
template <typename Struct, size_t kCount>
bool SetFlags(const std::string& list,
              const NamedFlag<Struct> (&names)[kCount],
              bool value,
              Struct& flags) {
  std::stringstream stream(list);
  std::string name;
  while (std::getline(stream, name, ',')) {
    const auto* known =
        std::find_if(std::begin(names), std::end(names),
                     [&](const auto& row) { return name == row.m_name; });
    if (known == std::end(names)) {
      std::cerr << "trial: unknown fault or safeguard " << name << "\n";
      return false;
    }
    flags.*(known->m_flag) = value;
  }
  return true;
}

double PercentileMs(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  return ToMilliseconds(sorted[static_cast<size_t>(
      share * static_cast<double>(sorted.size() - 1))]);
}

int Report(const RunOptions& options,
           const char* policy_name,
           const RunResult& result) {
  std::vector<Duration> all;
  auto by_service = result.m_latencies;
  for (auto& [service, latencies] : by_service) {
    std::sort(latencies.begin(), latencies.end());
    all.insert(all.end(), latencies.begin(), latencies.end());
  }
  std::sort(all.begin(), all.end());
  std::cout << "trial: deployment=" << options.m_deployment
            << " chooser=" << policy_name << " seed=" << options.m_seed
            << " load=" << options.m_load << " sent=" << result.m_sent
            << " answered=" << result.m_answered
            << " not_run=" << result.m_not_run
            << " may_have_run=" << result.m_may_have_run
            << " runs=" << result.m_runs << " wasted=" << result.m_wasted_runs
            << " sheds=" << result.m_sheds << " hand_ons=" << result.m_hand_ons
            << " p50_ms=" << PercentileMs(all, 0.5)
            << " p99_ms=" << PercentileMs(all, 0.99)
            << " p999_ms=" << PercentileMs(all, 0.999)
            << " headroom=" << result.m_min_headroom
            << " drain_ms=" << ToMilliseconds(result.m_max_drain)
            << " answered_per_s="
            << static_cast<double>(result.m_answered) /
                   std::chrono::duration<double>(result.m_elapsed).count()
            << "\n";
  for (const auto& [service, latencies] : by_service) {
    std::cout << "trial:   " << service
              << " p50_ms=" << PercentileMs(latencies, 0.5)
              << " p99_ms=" << PercentileMs(latencies, 0.99) << "\n";
  }
  for (const auto& [reason, count] : result.m_reasons) {
    std::cout << "trial:   " << reason << "=" << count << "\n";
  }
  if (result.m_violation.empty()) {
    return 0;
  }
  for (const std::string& line : result.m_trace) {
    std::cout << "trial:   " << line << "\n";
  }
  std::cout << "trial: VIOLATION " << result.m_violation << " after "
            << result.m_sent << " requests\n";
  return 1;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Randomised runs of the decision core.", ' ', "0");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed", false, 1, "N", line);
  TCLAP::ValueArg<uint64_t> requests("", "requests", "requests to send", false,
                                     100000, "N", line);
  TCLAP::ValueArg<double> load("", "load",
                               "offered load as a share of all slots", false,
                               0.85, "SHARE", line);
  TCLAP::ValueArg<std::string> deployment(
      "", "deployment", "trasa or porttivuoro", false, "trasa", "NAME", line);
  TCLAP::ValueArg<std::string> examples("", "examples", "folder of examples",
                                        false, "examples", "FOLDER", line);
  TCLAP::ValueArg<std::string> chooser(
      "", "chooser",
      "product, random, round_robin, least_reported, two_choices or oracle",
      false, "product", "NAME", line);
  TCLAP::ValueArg<std::string> faults(
      "", "faults",
      "kill,pause,cut,drain,stop,wave,place,region,lie,freeze,late,shift",
      false, "", "LIST", line);
  TCLAP::ValueArg<std::string> without("", "without", "safeguards to disable",
                                       false, "", "LIST", line);
  line.parse(argc, argv);
  RunOptions options;
  options.m_seed = seed.getValue();
  options.m_requests = requests.getValue();
  options.m_load = load.getValue();
  options.m_deployment = deployment.getValue();
  options.m_examples = examples.getValue();
  const auto* named = std::find_if(
      std::begin(kPolicies), std::end(kPolicies),
      [&](const auto& row) { return chooser.getValue() == row.m_name; });
  if (named == std::end(kPolicies) ||
      !SetFlags(faults.getValue(), kFaults, true, options.m_faults) ||
      !SetFlags(without.getValue(), kSafeguards, false, options.m_safeguards)) {
    return 2;
  }
  options.m_policy = named->m_policy;
  return Report(options, named->m_name,
                options.m_policy == SelectionPolicy::kProduct
                    ? RunProduct(options)
                    : RunBaseline(options));
}

}  // namespace
}  // namespace sorrelplank::trial

int main(int argc, char** argv) {
  try {
    return sorrelplank::trial::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "trial: " << error.what() << "\n";
    return 2;
  }
}
