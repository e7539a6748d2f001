/// @file replica_choice_test.cc Choice between the servers of one object.

#include "steer/replica_choice.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "steer/object_ranking.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr ReplicaCandidate kFree{.m_occupancy = 1, .m_limit = 5};
constexpr ReplicaCandidate kFull{.m_occupancy = 6, .m_limit = 5};

/// Objects of which each server is the first; with equally frequent requests,
/// the busiest server gets 2.5 times the mean.
constexpr size_t kObjects[] = {25, 20, 15, 15, 12, 10, 10, 8, 5, 0, 0, 0};
constexpr size_t kServers = std::size(kObjects);
constexpr size_t kSlots = 4;

/// Result of requests that need seven tenths of a region's slots if all objects
/// are cached: 225 ms each, and 750 ms at a server without the object.
struct Replay {
  struct Server {
    std::vector<double> m_slot_free_at = std::vector<double>(kSlots);
    std::vector<double> m_ends;
    std::set<size_t> m_cached;
    /// Sum of its response times, which its mean load is proportional to.
    double m_load = 0;
  };
  std::vector<Server> m_servers = std::vector<Server>(kServers);
  std::mt19937_64 m_random{1};
  double m_requests = 0;
  double m_in_time = 0;

  /// Requests of the second half of a minute count.
  explicit Replay(bool is_uneven) {
    std::vector<size_t> firsts;
    for (size_t server = 0; server < kServers; ++server) {
      firsts.insert(firsts.end(), kObjects[server], server);
    }
    const double interval = 0.225 / (0.7 * kServers * kSlots);
    for (double now = 0; now < 60; now += interval) {
      const size_t object = m_random() % firsts.size();
      const size_t second = (firsts[object] + 1 + object % (kServers - 1));
      ReplicaChoice choice(true, is_uneven);
      choice.Add(Candidate(m_servers[firsts[object]], now));
      Server& other = m_servers[second % kServers];
      const bool takes_other = choice.Add(Candidate(other, now)).m_is_fastest;
      Send(takes_other ? other : m_servers[firsts[object]], object, now);
    }
  }

  static ReplicaCandidate Candidate(Server& server, double now) {
    std::erase_if(server.m_ends, [now](double end) { return end <= now; });
    return {.m_occupancy = static_cast<double>(server.m_ends.size()),
            .m_limit = kSlots + 1};
  }

  void Send(Server& server, size_t object, double now) {
    const bool is_cached = !server.m_cached.insert(object).second;
    double& free_at = *std::min_element(server.m_slot_free_at.begin(),
                                        server.m_slot_free_at.end());
    free_at = std::max(free_at, now) + (is_cached ? 0.225 : 0.75);
    server.m_ends.push_back(free_at);
    if (now >= 30) {
      server.m_load += free_at - now;
      ++m_requests;
      m_in_time += free_at - now <= 0.6 ? 1 : 0;
    }
  }

  /// Load of the busiest server, relative to the mean.
  double Imbalance() const {
    double most = 0;
    double sum = 0;
    for (const Server& server : m_servers) {
      most = std::max(most, server.m_load);
      sum += server.m_load;
    }
    return most * kServers / sum;
  }
};

TestSuite(ReplicaChoice);

// Guards against idle servers next to full ones: the second server was assumed
// not to have the object cached, and got nothing until the first had a queue of
// more than twice its slots. The same requests in an even service show it.
Test(ReplicaChoice, Uneven_ObjectsHashedUnevenly_LoadsAreCloseAndInTime) {
  const Replay uneven(true);
  const Replay even(false);
  cr_expect_lt(uneven.Imbalance(), 1.6, "%.2f", uneven.Imbalance());
  cr_expect_gt(uneven.m_in_time, 0.95 * uneven.m_requests);
  cr_expect_gt(even.Imbalance(), 2, "%.2f", even.Imbalance());
  cr_expect_lt(even.m_in_time, 0.7 * even.m_requests);
}

// Guards against two copies of every object at low load.
Test(ReplicaChoice, Uneven_FirstHasFreeSlot_FirstIsFastest) {
  ReplicaChoice choice(true, true);
  choice.Add({.m_occupancy = 4, .m_limit = 5});
  cr_assert_not(choice.Add(kFree).m_is_fastest);
}

// Guards against other decisions in evenly spread deployments.
Test(ReplicaChoice, Even_FirstFull_SecondOnlyIfItWasSentTheObject) {
  ReplicaChoice choice(true, false);
  choice.Add(kFull);
  ReplicaCandidate second = kFree;
  cr_assert_not(choice.Add(second).m_is_fastest);
  second.m_was_sent_object = true;
  cr_assert(choice.Add(second).m_is_fastest);
}

// Guards against sending to a slowed machine while the other one is as usual.
Test(ReplicaChoice, FirstsMachineSlowed_SecondIsFastest) {
  ReplicaChoice choice(true, true);
  choice.Add({.m_occupancy = 1, .m_limit = 5, .m_work_factor = 2.5});
  cr_assert(choice.Add(kFree).m_is_fastest);
}

/// An object that ranks three servers in the given order.
uint64_t ObjectWithRanking(const char* first,
                           const char* second,
                           const char* third) {
  uint64_t object = 1;
  while (ObjectWeight(object, first) < ObjectWeight(object, second) ||
         ObjectWeight(object, second) < ObjectWeight(object, third)) {
    ++object;
  }
  return object;
}

// The service turns uneven, which the operator must see. Then requests wait for
// two full servers. Guards against a free slot while they wait for it: one that
// counted those behind it preferred its other server, which was full.
Test(ReplicaChoice, Steering_RequestsWaitForTwoServers_FreedSlotIsUsed) {
  SteeringFixture vm;
  RouteRule route = MakeRoute("/write/", false);
  route.m_target_latency = seconds(2);
  route.m_home_regions = {"r1"};
  vm.Install(2, {route});
  vm.PutServer("c", "d1");
  for (int number = 0; number < 6; ++number) {
    vm.PutServer("far-" + std::to_string(number), "d3");
  }
  vm.Pass(seconds(1));
  cr_assert_str_eq(vm.Last<StateChanged>()->m_event, "capacity_uneven");
  const uint64_t ab = ObjectWithRanking("a", "b", "c");
  const uint64_t ac = ObjectWithRanking("a", "c", "b");
  std::map<std::string, SendToServer> sent;
  for (const uint64_t object :
       {ab, ab, ab, ab, ab, ab, ac, ac, ac, ab, ac, ac, ac, ac}) {
    vm.Arrive("/write/x", object);
    sent[vm.Last<SendToServer>()->m_instance] = *vm.Last<SendToServer>();
  }
  cr_assert(sent["b"].m_is_second_choice && !sent["a"].m_is_second_choice);
  vm.End(sent["c"], AttemptEnd::kAnswered);
  cr_assert_eq(vm.m_steering.WaitingCount(), 4);
  vm.End(sent["a"], AttemptEnd::kAnswered);
  cr_assert_eq(vm.m_steering.WaitingCount(), 3);
}

}  // namespace
}  // namespace sorrelplank
