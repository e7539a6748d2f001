/// @file stale_fleet_test.cc Cold servers and VMs that the store does not
/// answer.

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Requests that a cold server of the fixture may get in one second, from all
/// VMs together.
constexpr size_t kColdBound = 4 * 1.5 + 5;

/// VMs in two regions with a cold server in one of them, of which only some VMs
/// know that it is cold.
struct StaleFleetFixture {
  std::vector<FleetMember> m_fleet;
  std::vector<std::unique_ptr<SteeringFixture>> m_vms;

  StaleFleetFixture(size_t own_region_vms, size_t other_region_vms) {
    AddMembers(own_region_vms, "d1", "r1");
    AddMembers(other_region_vms, "d3", "r2");
    for (const FleetMember& member : m_fleet) {
      SteeringSettings settings = MakeSettings();
      settings.m_vm = member.m_vm;
      settings.m_failure_domain = member.m_failure_domain;
      settings.m_region = member.m_region;
      auto vm = std::make_unique<SteeringFixture>(settings);
      vm->m_steering.RemoveServer("b", vm->m_now);
      vm->m_steering.SetFleet(m_fleet, vm->m_now);
      vm->Pass(seconds(3));
      m_vms.push_back(std::move(vm));
    }
  }

  void AddMembers(size_t vms,
                  const std::string& domain,
                  const std::string& region) {
    for (size_t vm = 0; vm < vms; ++vm) {
      m_fleet.push_back({"vm-" + std::to_string(m_fleet.size() + 1),
                         "10.0.0.1:80", domain, region});
    }
  }

  /// Lets each VM have more requests than it may send. Returns how many the
  /// server got in the worst second.
  size_t WorstSecond() {
    std::vector<size_t> sent(150);
    for (const auto& vm : m_vms) {
      for (size_t& count : sent) {
        const size_t before = vm->Count<SendToServer>();
        vm->Arrive("/read/x");
        if (vm->Count<SendToServer>() > before) {
          ++count;
          vm->End(*vm->Last<SendToServer>(), AttemptEnd::kAnswered);
        }
        vm->m_now += milliseconds(20);
      }
    }
    constexpr size_t kStepsPerSecond = 50;
    size_t worst = 0;
    for (size_t at = 0; at + kStepsPerSecond <= sent.size(); ++at) {
      size_t sum = 0;
      for (size_t step = 0; step < kStepsPerSecond; ++step) {
        sum += sent[at + step];
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }
};

TestSuite(StaleFleet);

// VMs that the store does not answer miss that a server turned cold: each sent
// it at least one request a second, however many they were.
Test(StaleFleet, ManyVmsMissThatServerIsCold_ServerGetsAtMostTheBound) {
  for (const size_t others : {0, 6, 24}) {
    StaleFleetFixture fixture(24, others);
    for (const auto& vm : fixture.m_vms) {
      vm->m_steering.SetDataStale(true);
    }
    const size_t worst = fixture.WorstSecond();
    cr_expect_leq(worst, kColdBound, "%zu of %zu", worst, kColdBound);
    cr_expect_gt(worst, 0U);
  }
}

// The VM that the cold server is assigned to is in step, the others are not.
Test(StaleFleet, OtherVmsMissThatServerIsCold_ServerGetsAtMostTheBound) {
  StaleFleetFixture fixture(6, 6);
  for (const auto& vm : fixture.m_vms) {
    vm->m_steering.SetDataStale(true);
  }
  for (const auto& vm : fixture.m_vms) {
    vm->m_steering.SetDataStale(false);
    vm->PutServer("a", "d1", false, seconds(10));
    if (vm->AnswerForOneSecond("/read/x") > 0) {
      break;
    }
    vm->m_steering.SetDataStale(true);
  }
  const size_t worst = fixture.WorstSecond();
  cr_expect_leq(worst, kColdBound, "%zu of %zu", worst, kColdBound);
}

// A VM learns that a server is cold after it sent many requests there: those
// count too.
Test(StaleFleet, ServerFoundColdAfterSends_ServerGetsAtMostTheBound) {
  StaleFleetFixture fixture(1, 0);
  SteeringFixture& vm = *fixture.m_vms.front();
  for (size_t request = 0; request < kColdBound - 1; ++request) {
    vm.Arrive("/read/x");
    vm.End(*vm.Last<SendToServer>(), AttemptEnd::kAnswered);
  }
  vm.PutServer("a", "d1", false, seconds(3));
  const size_t before = vm.Count<SendToServer>();
  vm.Arrive("/read/x");
  cr_expect_eq(vm.Count<SendToServer>(), before);
}

}  // namespace
}  // namespace sorrelplank
