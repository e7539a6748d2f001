/// @file retry_budget_restart_test.cc The retry budget over all VMs, while VMs
/// restart or their callers move.

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr size_t kVms = 4;
constexpr size_t kRequestsPerRun = 12;
constexpr double kRatio = 0.2;
constexpr double kExtra = 40;
/// After this time, servers that rejected a request no longer count as full.
constexpr Duration kRequestInterval = milliseconds(80);

std::vector<FleetMember> MakeFleet(size_t vms) {
  std::vector<FleetMember> fleet;
  for (size_t vm = 1; vm <= vms; ++vm) {
    fleet.push_back({"vm-" + std::to_string(vm), "10.0.0.1:80", "d1", "r1"});
  }
  return fleet;
}

/// One run of the first VM's process, 3 s old, while the servers reject all
/// requests.
struct RunFixture : SteeringFixture {
  size_t m_retries = 0;

  explicit RunFixture(size_t listed_vms, double extra = kExtra)
      : SteeringFixture([extra] {
          SteeringSettings settings = MakeSettings();
          settings.m_retry_ratio = kRatio;
          settings.m_retry_extra = extra;
          return settings;
        }()) {
    List(listed_vms);
  }

  void List(size_t vms) { m_steering.SetFleet(MakeFleet(vms), m_now); }

  void AnswerRequests(size_t requests) {
    for (size_t request = 0; request < requests; ++request) {
      Arrive("/read/x", request);
      End(*Last<SendToServer>(), AttemptEnd::kAnswered);
      Pass(kRequestInterval);
    }
  }

  void RejectRequests(size_t requests) {
    for (size_t request = 0; request < requests; ++request) {
      const size_t before = Count<SendToServer>();
      Arrive("/read/x", request);
      for (size_t send = before; send < Count<SendToServer>(); ++send) {
        End(*Last<SendToServer>(), AttemptEnd::kRejected);
      }
      const size_t sends = Count<SendToServer>() - before;
      m_retries += sends > 1 ? sends - 1 : 0;
      Pass(kRequestInterval);
    }
  }
};

TestSuite(RetryBudgetRestart);

// All VMs restart three times within the window, and each run first finds half
// of the VMs in the store: servers got nearly twice the allowed retries.
Test(RetryBudgetRestart, AllVmsRestartThriceInWindow_RetriesStayInBudget) {
  size_t retries = 0;
  size_t requests = 0;
  for (size_t run = 0; run < 3 * kVms; ++run) {
    RunFixture fixture(kVms / 2);
    fixture.RejectRequests(kRequestsPerRun);
    retries += fixture.m_retries;
    requests += kRequestsPerRun;
  }
  const double budget = kRatio * static_cast<double>(requests) + kExtra;
  cr_assert_leq(static_cast<double>(retries), budget, "%zu of %.0f", retries,
                budget);
}

// The store drops the entries of the VMs by turns, so that each VM once seems
// to be the only one: each then took the whole extra.
Test(RetryBudgetRestart, EachVmAloneInStoreByTurns_RetriesStayInBudget) {
  constexpr size_t kRequests = 25;
  size_t retries = 0;
  for (size_t vm = 0; vm < kVms; ++vm) {
    RunFixture fixture(kVms);
    fixture.Pass(seconds(10));
    fixture.List(1);
    fixture.RejectRequests(kRequests);
    retries += fixture.m_retries;
  }
  const double budget = kRatio * kVms * kRequests + kExtra;
  cr_assert_leq(static_cast<double>(retries), budget, "%zu of %.0f", retries,
                budget);
}

// Guards against a share that stays small although the other VMs are gone.
Test(RetryBudgetRestart, VmsAreGoneForAWindow_ShareGrows) {
  RunFixture fixture(kVms);
  fixture.List(1);
  fixture.Pass(seconds(20));
  fixture.RejectRequests(30);
  cr_assert_gt(fixture.m_retries, kExtra * 0.4);
}

// All servers start to reject, and 2 s later the callers move to the next VM.
// Each VM retried as much as 10 s of the same callers' requests allow.
Test(RetryBudgetRestart, CallersMoveAfterFailuresBegin_RetriesStayInBudget) {
  constexpr size_t kWindowRequests = 125;
  constexpr size_t kBeforeMove = 25;
  RunFixture first(2, 0);
  RunFixture second(2, 0);
  first.AnswerRequests(kWindowRequests);
  first.RejectRequests(kBeforeMove);
  second.Pass(first.m_now - second.m_now);
  second.RejectRequests(kWindowRequests - kBeforeMove);
  const size_t retries = first.m_retries + second.m_retries;
  cr_assert_leq(static_cast<double>(retries), kRatio * kWindowRequests, "%zu",
                retries);
}

}  // namespace
}  // namespace sorrelplank
