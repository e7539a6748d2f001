/// @file server_limit_test.cc Limits that backend servers name, over many entry
/// VMs.

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

#include "trial/limit_world.h"

namespace sorrelplank::trial {
namespace {

TestSuite(ServerLimit, .timeout = 240);

// Guards against a server that gets more from all entry VMs together than it
// said it takes.
Test(ServerLimit, NamedInAnswers_AllVmsAsk_SumKeepsTheBound) {
  std::string broken;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LimitWorld world({.m_seed = seed});
    world.SetLimit(0, seconds(8), 3.3);
    world.SetLimit(4, seconds(8), 1.7);
    world.Run(seconds(40));
    for (const size_t server : {0, 4}) {
      const double worst = world.ResultOf(server).m_worst_window;
      if (worst > 1) {
        broken += std::to_string(seed) + ": " + std::to_string(worst) + "  ";
      }
    }
  }
  cr_assert(broken.empty(), "seeds and parts of the bound: %s", broken.c_str());
}

}  // namespace
}  // namespace sorrelplank::trial
