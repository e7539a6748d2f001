/// @file server_limit_test.cc Rate limits that backend servers name, over many
/// entry VMs.

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>

#include "tests/steering_fixture.h"
#include "trial/limit_simulation.h"

namespace sorrelplank::trial {
namespace {

TestSuite(ServerLimit, .timeout = 240);

// Guards against a server that gets more requests from all entry VMs together
// than its limit.
Test(ServerLimit, NamedInResponses_AllVmsSend_SumStaysWithinTheBound) {
  std::string broken;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LimitSimulation simulation({.m_seed = seed});
    simulation.SetLimit(0, seconds(8), 3.3);
    simulation.SetLimit(4, seconds(8), 1.7);
    simulation.Run(seconds(40));
    for (const size_t server : {0, 4}) {
      const double worst = simulation.ResultOf(server).m_max_window_ratio;
      if (worst > 1) {
        broken += std::to_string(seed) + ": " + std::to_string(worst) + "  ";
      }
    }
  }
  cr_assert(broken.empty(), "seeds and ratios to the bound: %s",
            broken.c_str());
}

// Guards against a limit of which the VMs leave most unused.
Test(ServerLimit, NamedInResponses_LoadAboveTheLimit_MostOfItIsUsed) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LimitSimulation simulation({.m_seed = seed});
    simulation.SetLimit(0, seconds(8), 3.3);
    simulation.SetLimit(4, seconds(8), 1.7);
    simulation.Run(seconds(40));
    cr_assert_geq(simulation.ResultOf(0).m_used_share, 0.8, "seed %lu", seed);
    cr_assert_geq(simulation.ResultOf(4).m_used_share, 0.8, "seed %lu", seed);
  }
}

// Guards against requests that wait or fail while other servers have free
// slots.
Test(ServerLimit, NamedInResponses_OtherServersFree_AllAreAnswered) {
  LimitSimulation simulation({.m_seed = 1});
  simulation.SetLimit(0, seconds(8), 3.3);
  simulation.SetLimit(4, seconds(8), 0);
  simulation.Run(seconds(40));
  cr_assert_eq(simulation.Counts().m_refused, 0);
  cr_assert_eq(simulation.Counts().m_failed, 0);
}

// Guards against a server that never gets requests again: only its responses
// show that a limit has ended.
Test(ServerLimit, LimitOfZeroEnds_Server_GetsItsShareAgain) {
  LimitSimulation simulation({.m_seed = 1});
  simulation.SetLimit(0, seconds(8), 0);
  simulation.SetLimit(0, seconds(20), -1);
  simulation.SetLimit(0, seconds(40), 100);
  simulation.Run(seconds(60));
  cr_assert_leq(simulation.ResultOf(0).m_max_window_ratio, 1);
  cr_assert_geq(simulation.ResultOf(0).m_used_share, 0.05);
}

// Guards against a Retry-After that is too early for the servers at their limit
// to accept the request.
Test(ServerLimit, AllServersAtTheirLimit_Request_IsRefusedWithRetryAfter) {
  SteeringFixture fixture;
  for (uint64_t object = 0; object < 20; ++object) {
    fixture.Arrive("/read/x", object);
    fixture.EndWithNotice(*fixture.Last<SendToServer>(), AttemptEnd::kAnswered,
                          {.m_max_per_second = 0.5});
  }
  fixture.Arrive("/read/x");
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kNoServer);
  cr_assert_geq(ToMilliseconds(fixture.Last<RefuseRequest>()->m_retry_after),
                1000);
}

// Guards against a limit that ends with an error response: another part of the
// server than the one that names the limit may produce it.
Test(ServerLimit, Named_ErrorWithoutIt_StaysInForce) {
  SteeringFixture fixture;
  fixture.Arrive("/read/x");
  const SendToServer first = *fixture.Last<SendToServer>();
  fixture.Arrive("/write/x");
  const SendToServer second = *fixture.Last<SendToServer>();
  cr_assert_str_eq(first.m_instance.c_str(), second.m_instance.c_str());
  fixture.EndWithNotice(first, AttemptEnd::kAnswered, {.m_max_per_second = 2});
  fixture.Pass(milliseconds(1500));
  fixture.EndWithNotice(second, AttemptEnd::kServerError, {});
  cr_assert_eq(fixture.m_steering.LimitedServers(), 1);
}

/// A service whose only server is in another region, with a VM there.
struct RemoteLimitFixture : SteeringFixture {
  RemoteLimitFixture() {
    m_steering.RemoveServer("a", m_now);
    m_steering.RemoveServer("b", m_now);
    PutServer("c", "d3");
    m_steering.SetFleet({{"vm-1", "", "d1", "r1"}, {"vm-2", "", "d3", "r2"}},
                        m_now);
    Pass(seconds(1));
    Arrive("/read/x");
    EndWithNotice(*Last<SendToServer>(), AttemptEnd::kAnswered,
                  {.m_max_per_second = 2});
  }

  /// Grants the last quota request as the keeper.
  void Grant() {
    const QuotaRequest quota_request =
        Last<SendQuotaRequest>()->m_request.m_quota_request;
    m_steering.ApplyQuotaGrant({.m_subject = quota_request.m_subject,
                                .m_number = quota_request.m_number,
                                .m_tokens = quota_request.m_tokens,
                                .m_is_keeper = true},
                               m_now);
  }
};

// Guards against refusals at VMs of other regions while the keeper has tokens.
Test(ServerLimit, OnlyServerIsRemote_Request_AsksItsKeeper) {
  RemoteLimitFixture fixture;
  const size_t sends = fixture.Count<SendToServer>();
  fixture.Arrive("/read/x");
  cr_assert_eq(fixture.Count<RefuseRequest>(), 0);
  fixture.Grant();
  cr_assert_eq(fixture.Count<SendToServer>(), sends + 1);
}

// Guards against a server that VMs of other regions never use again, since they
// do not learn that the limit has ended.
Test(ServerLimit, NamedLongAgo_OtherRegionsVm_AsksTheKeeperOnce) {
  RemoteLimitFixture fixture;
  fixture.PutServer("d", "d3");
  fixture.Pass(seconds(12));
  cr_assert_gt(fixture.SentTo("d"), 0);
  cr_assert_eq(fixture.Count<SendQuotaRequest>(), 1);
  fixture.Grant();
  fixture.EndWithNotice(*fixture.Last<SendToServer>(), AttemptEnd::kAnswered,
                        {});
  cr_assert_gt(fixture.SentTo("c"), 0);
}

/// Five random faults while two servers name limits.
double WorstWindowUnderFaults(uint64_t seed) {
  std::mt19937_64 random(seed);
  LimitSimulation simulation({.m_seed = seed, .m_loss = 0.02});
  simulation.SetLimit(0, seconds(3), 3.3);
  simulation.SetLimit(4, seconds(3), 1.7);
  for (int fault = 0; fault < 5; ++fault) {
    const Duration at = milliseconds(5000 + random() % 12000);
    const Duration lasts = milliseconds(300 + random() % 6000);
    const auto vm = static_cast<size_t>(random() % 12);
    const size_t server = random() % 2 == 0 ? 0 : 4;
    switch (random() % 6) {
      case 0:
        simulation.Kill(vm, at, lasts);
        break;
      case 1:
        simulation.Partition({vm, (vm + 3) % 12, (vm + 7) % 12}, at,
                             at + lasts);
        break;
      case 2:
        simulation.RestartServer(server, at);
        simulation.SetLimit(server, at + milliseconds(500), 2.5);
        break;
      case 3:
        simulation.LapseEntry(server, at);
        break;
      case 4:
        simulation.SetLimit(server, at,
                            0.5 + static_cast<double>(random() % 4));
        break;
      default:
        simulation.SetLimit(server, at, -1);
        simulation.SetLimit(server, at + lasts, 2);
        break;
    }
  }
  simulation.Run(seconds(30));
  return std::max(simulation.ResultOf(0).m_max_window_ratio,
                  simulation.ResultOf(4).m_max_window_ratio);
}

// Guards against a sum over the bound while keepers are killed, VMs are cut
// off, servers restart, entries expire and limits change.
Test(ServerLimit, RandomFaults_AllVmsSend_SumStaysWithinTheBound) {
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

}  // namespace
}  // namespace sorrelplank::trial
