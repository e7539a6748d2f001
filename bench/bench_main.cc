/// @file bench_main.cc Runs all benchmarks, or the group that is named as the
/// argument.

#include <cstring>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "bench/client_blocks_bench.h"
#include "bench/decision_bench.h"
#include "bench/limit_bench.h"
#include "bench/path_bench.h"
#include "bench/policy_bench.h"
#include "bench/quota_bench.h"
#include "bench/spread_bench.h"
#include "bench/steering_bench.h"

namespace {

constexpr uint64_t kPolicyRequests = 300000;

int Run(const std::string& group) {
  using namespace sorrelplank;
  const auto binaries =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  const bool all = group == "all";
  if (all || group == "blocks") {
    BenchClientBlocks();
  }
  if (all || group == "decisions") {
    BenchDecisions();
  }
  if (all || group == "control") {
    BenchControl();
  }
  if (all || group == "steering") {
    BenchSteering();
  }
  if (all || group == "quotas") {
    BenchQuotas();
  }
  if (all || group == "limits") {
    BenchLimits();
  }
  if (all || group == "path") {
    BenchPath(binaries, "examples");
  }
  if (all || group == "spread") {
    BenchSpread(binaries, "examples");
  }
  if (all || group == "policy") {
    BenchPolicy("examples", kPolicyRequests);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc > 1 ? argv[1] : "all");
  } catch (const std::exception& error) {
    std::cerr << "bench: " << error.what() << "\n";
    return 1;
  }
}
