/// @file steering_work_test.cc Cost of decisions as the fleet grows.

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "steer/cold_server_assignment.h"
#include "steer/object_ranking.h"
#include "steer/server_state.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr size_t kFewServers = 300;
constexpr uint64_t kObjects = 20;

/// Decisions of one VM with the given number of servers, few of which report
/// their load.
struct WorkFixture {
  SteeringFixture m_vm;

  explicit WorkFixture(size_t servers) {
    for (size_t number = 0; number < servers; ++number) {
      m_vm.PutServer("i-" + std::to_string(number),
                     "d" + std::to_string(number % 3 + 1));
    }
    m_vm.Pass(seconds(1));
  }

  uint64_t ServersExaminedByTicks() {
    const uint64_t before = m_vm.m_steering.ServersExamined();
    m_vm.Pass(seconds(1));
    return m_vm.m_steering.ServersExamined() - before;
  }

  void SendRequests() {
    for (uint64_t object = 1; object <= kObjects; ++object) {
      m_vm.Arrive("/read/", object);
    }
  }

  uint64_t ServersExaminedByRequests() {
    SendRequests();
    const uint64_t before = m_vm.m_steering.ServersExamined();
    SendRequests();
    return m_vm.m_steering.ServersExamined() - before;
  }
};

ServerEntry MakeEntry(const std::string& instance, const std::string& domain) {
  return {instance, "s", {1, 80}, domain, 2, false, {}, {}};
}

std::vector<FleetMember> MakeFleet(size_t vms, size_t domains) {
  std::vector<FleetMember> fleet;
  for (size_t number = 0; number < vms; ++number) {
    fleet.push_back({"vm-" + std::to_string(number), "10.0.0.1:80",
                     "d" + std::to_string(number % domains), "r"});
  }
  return fleet;
}

std::map<std::string, std::string> MakeRegions(size_t domains) {
  std::map<std::string, std::string> regions;
  for (size_t domain = 0; domain < domains; ++domain) {
    regions["d" + std::to_string(domain)] = "r";
  }
  return regions;
}

TestSuite(SteeringWork);

// Guards against ticks that examine every server of a large fleet.
Test(SteeringWork, Ticks_ServersGrowFourfold_ExamineNoMore) {
  const uint64_t few = WorkFixture(kFewServers).ServersExaminedByTicks();
  cr_expect_eq(WorkFixture(2 * kFewServers).ServersExaminedByTicks(), few);
  cr_expect_eq(WorkFixture(4 * kFewServers).ServersExaminedByTicks(), few);
}

// Guards against ranking every server of a region for each request.
Test(SteeringWork, RequestsOfKnownObjects_ServersGrowFourfold_ExamineNoMore) {
  const uint64_t few = WorkFixture(kFewServers).ServersExaminedByRequests();
  cr_expect_leq(few, kObjects * ObjectRanking::kMaxRankedServers);
  cr_expect_leq(WorkFixture(2 * kFewServers).ServersExaminedByRequests(), few);
  cr_expect_leq(WorkFixture(4 * kFewServers).ServersExaminedByRequests(), few);
}

// Guards against an incrementally updated ranking that differs from a new one:
// two VMs would then send an object to different servers.
Test(SteeringWork, ObjectRanking_ServersComeAndGo_EqualsAFreshRanking) {
  std::mt19937 random(7);
  ObjectRanking updated;
  std::vector<std::unique_ptr<ServerState>> states;
  std::vector<ServerState*> all;
  for (int step = 0; step < 2000; ++step) {
    const bool adds = all.empty() || random() % 100 < 52;
    if (adds) {
      states.push_back(std::make_unique<ServerState>(
          MakeEntry("i-" + std::to_string(step), "d1"), 0, TimePoint{}));
      all.push_back(states.back().get());
      updated.Add(all.back());
    } else {
      const auto gone =
          all.begin() + static_cast<std::ptrdiff_t>(random() % all.size());
      updated.Remove(*gone);
      all.erase(gone);
    }
    const uint64_t object = random() % 5;
    const auto order = updated.TopServers(object, all);
    const auto fresh = ObjectRanking().TopServers(object, all);
    cr_assert_geq(order.size(), std::min<size_t>(4, all.size()));
    cr_assert_leq(order.size(), fresh.size());
    cr_assert(std::equal(order.begin(), order.end(), fresh.begin()),
              "step %d, object %lu", step, static_cast<unsigned long>(object));
  }
}

// Guards against computing weights of all the fleet's VMs for each cold server,
// and against computing them again when a VM of another domain restarts.
Test(SteeringWork, ColdServers_FleetGrows_OnlyTheirDomainIsWeighed) {
  for (const size_t domains : {3U, 6U, 12U}) {
    ColdServerAssignment senders(MakeRegions(domains), "vm-0");
    auto fleet = MakeFleet(10 * domains, domains);
    senders.SetFleet(fleet);
    const auto ask = [&] {
      for (int number = 0; number < 120; ++number) {
        senders.IsAssignedHere(MakeEntry("i-" + std::to_string(number),
                                         "d" + std::to_string(number % 3)));
      }
    };
    ask();
    cr_expect_eq(senders.WeightsComputed(), 40U * 10, "%zu domains", domains);
    fleet.erase(fleet.begin() + 1);
    senders.SetFleet(fleet);
    ask();
    cr_expect_eq(senders.WeightsComputed(), 40U * 10, "%zu domains", domains);
  }
}

// Guards against a cold server with two senders or none.
Test(SteeringWork, ColdServers_DomainWithAndWithoutVms_HaveOneSender) {
  const auto fleet = MakeFleet(20, 4);
  auto regions = MakeRegions(4);
  regions["empty"] = "r";
  for (const std::string domain : {"d1", "empty"}) {
    size_t senders = 0;
    for (const FleetMember& member : fleet) {
      ColdServerAssignment one(regions, member.m_vm);
      one.SetFleet(fleet);
      senders += one.IsAssignedHere(MakeEntry("i-7", domain)) ? 1 : 0;
    }
    cr_expect_eq(senders, 1U, "%s", domain.c_str());
  }
}

}  // namespace
}  // namespace sorrelplank
