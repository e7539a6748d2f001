/// @file demo.cc Demonstration: a deployment on loopback serves requests while
/// an entry VM is killed and a backend server is drained.

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "standin/fleet.h"
#include "standin/load.h"

namespace sorrelplank {
namespace {

constexpr Duration kLoadTime = seconds(10);
/// A third of the capacity: the load still fits after one entry VM is killed.
constexpr double kLoadShare = 0.35;
constexpr uint64_t kSeed = 1;

/// Drains the first backend server: marks it as leaving in a separate
/// configuration file and applies the folder.
void DrainFirstBackend(Fleet& fleet) {
  const std::string& name = fleet.Config().m_backends.front().m_name;
  const nlohmann::json change = {
      {"backend_servers", {{name, {{"leaving", true}}}}}};
  std::ofstream(fleet.Folder() + "/90-leaving.json") << change.dump(2);
  const auto [exit, output] = fleet.Run(
      {"apply", fleet.Folder(), "--platform", Fleet::PlatformAddress()});
  std::cout << "demo: drain " << name << ": " << output;
  if (exit != 0) {
    throw std::runtime_error(
        "applying the configuration that drains a backend server failed");
  }
}

int RunDemo(const std::string& binaries, const std::string& folder) {
  Fleet fleet(binaries, folder);
  std::cout << "demo: starting the platform, "
            << fleet.Config().m_backends.size() << " backend servers and "
            << fleet.Vms().size() << " entry VMs on loopback\n";
  fleet.StartAll();
  std::vector<std::string> names;
  for (const FleetVm& vm : fleet.Vms()) {
    names.push_back(vm.m_name);
  }
  if (!fleet.WaitReady(names, seconds(20))) {
    std::cerr << "demo: entry VMs were not ready within 20 s\n";
    return 1;
  }
  std::cout << "demo: all ready; sending requests for 10 s\n";
  Load load(fleet, MakeLoad(fleet.Config(), kLoadShare), kSeed);
  load.RunFor(kLoadTime, [&](int second) {
    if (second == 3) {
      std::cout << "demo: killing " << names.front() << "\n";
      fleet.Signal(names.front(), SIGKILL);
    }
    if (second == 6) {
      DrainFirstBackend(fleet);
    }
  });
  load.CheckRuns(fleet.BackendStats());
  PrintTallies(load.Tallies());
  const ServiceTally total = load.Total();
  std::cout << "demo: sent=" << total.m_sent << " answered=" << total.m_answered
            << " not_run=" << total.m_not_run
            << " may_have_run=" << total.m_may_have_run
            << " wrong=" << total.m_wrong << " doubled=" << total.m_doubled
            << " lost=" << total.m_lost << "\n";
  return total.m_wrong + total.m_doubled + total.m_lost == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sorrelplank

int main(int argc, char** argv) {
  std::string deployment = "trasa";
  std::string examples = "examples";
  for (int at = 1; at + 1 < argc; at += 2) {
    if (std::strcmp(argv[at], "--deployment") == 0) {
      deployment = argv[at + 1];
    } else if (std::strcmp(argv[at], "--examples") == 0) {
      examples = argv[at + 1];
    }
  }
  try {
    const auto binaries =
        std::filesystem::canonical("/proc/self/exe").parent_path();
    return sorrelplank::RunDemo(binaries.string(), examples + "/" + deployment);
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << "\n";
    return 1;
  }
}
