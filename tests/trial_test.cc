/// @file trial_test.cc Randomised simulations with fixed seeds: no guarantee is
/// violated while all safeguards are on, and disabling a safeguard causes the
/// violation that it prevents.

#include <criterion/criterion.h>

#include <string>

#include "trial/run_type.h"

namespace sorrelplank::trial {
namespace {

RunOptions g_options;

void SetUp() {
  g_options = RunOptions();
  g_options.m_examples = std::string(SOURCE_DIR) + "/examples";
  g_options.m_load = 0.75;
  Faults& faults = g_options.m_faults;
  faults.m_kill = faults.m_pause = faults.m_partition = faults.m_late_requests =
      true;
  faults.m_stop = faults.m_drain = true;
}

void ExpectNoViolation() {
  const RunResult result = RunProduct(g_options);
  cr_assert_eq(result.m_violation, "", "%s", result.m_violation.c_str());
}

void ExpectViolation(const std::string& expected) {
  const RunResult result = RunProduct(g_options);
  cr_assert_eq(result.m_violation, expected, "found \"%s\"",
               result.m_violation.c_str());
}

TestSuite(Trial, .init = SetUp);

// All faults at once: entry VMs crash, freeze, stop or are partitioned, backend
// servers drain, requests are delayed. Each caller must get exactly one final
// response, to its own request; no non-idempotent request may run twice; no
// limit may be exceeded.
Test(Trial, TrasaAllFaults_EverySafeguardOn_GuaranteesHold) {
  g_options.m_requests = 150000;
  ExpectNoViolation();
}

Test(Trial, PorttivuoroAllFaults_EverySafeguardOn_GuaranteesHold) {
  g_options.m_deployment = "porttivuoro";
  g_options.m_requests = 150000;
  ExpectNoViolation();
}

Test(Trial, RegionLost_EverySafeguardOn_GuaranteesHold) {
  g_options.m_faults = Faults();
  g_options.m_faults.m_region = true;
  g_options.m_requests = 100000;
  ExpectNoViolation();
}

// Without the takeover wait, the successor of an entry VM dispatches while the
// predecessor's requests still run, which exceeds the server's slots.
Test(Trial, AllFaults_NoTakeoverWait_SlotsExceeded) {
  g_options.m_safeguards.m_takeover_wait = false;
  ExpectViolation("a backend server was pushed past its slots");
}

// Without this safeguard, a non-idempotent request whose connection broke is
// retried although it may have run.
Test(Trial, AllFaults_RetriesAfterMayHaveRun_RunsTwice) {
  g_options.m_safeguards.m_retry_only_not_run = false;
  g_options.m_requests = 500000;
  ExpectViolation("a non-idempotent request ran twice");
}

// Without the memory of keys, the next entry VM takes a caller's retry for a
// new request.
Test(Trial, AllFaults_NoKeyMemory_RunsTwice) {
  g_options.m_safeguards.m_key_memory = false;
  ExpectViolation("a non-idempotent request ran twice");
}

// Without this safeguard, a leaving backend server is selected like any other.
Test(Trial, AllFaults_LeavingIsIgnored_NewWorkAfterThreeSeconds) {
  g_options.m_safeguards.m_leaving_stops = false;
  ExpectViolation("a leaving backend server got new work after 3 s");
}

// The callers of one place send three times as many requests. Without the cap,
// the other places take all of the excess.
Test(Trial, TrafficBurst_NoShiftCap_CapExceeded) {
  g_options.m_deployment = "porttivuoro";
  g_options.m_faults = Faults();
  g_options.m_faults.m_traffic_burst = true;
  g_options.m_safeguards.m_shift_cap = false;
  g_options.m_load = 0.9;
  ExpectViolation("a place took more shifted requests than its cap");
}

Test(Trial, TrafficBurst_ShiftCapOn_GuaranteesHold) {
  g_options.m_deployment = "porttivuoro";
  g_options.m_faults = Faults();
  g_options.m_faults.m_traffic_burst = true;
  g_options.m_load = 0.9;
  ExpectNoViolation();
}

}  // namespace
}  // namespace sorrelplank::trial
