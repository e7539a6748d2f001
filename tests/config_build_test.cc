/// @file config_build_test.cc Splitting caps over backend servers.

#include <criterion/criterion.h>

#include <memory>

#include "tests/node_fixture.h"

namespace sorrelplank {
namespace {

std::shared_ptr<const Snapshot> g_config;

void SetUp() {
  // n1: a fast service and one ten times slower, two slots each.
  g_config = ParseSmall(1, R"({
    "services": {"read": {"expected_run_ms": 10},
                 "write": {"expected_run_ms": 100}},
    "places": {"n1": {"shift_cap_rps": 110}, "n2": {"request_cap": 3}},
    "links": {"ns": {"regions": ["north", "south"], "cap_rps": 22}}})");
}

void TearDown() {
  g_config.reset();
}

const BackendServer& ServerOf(const char* name) {
  return g_config->Get(*g_config->FindBackend(HashName(name)));
}

TestSuite(ConfigBuild, .init = SetUp, .fini = TearDown);

Test(ConfigBuild, ShiftCap_FastAndSlowService_SplitByRate) {
  cr_assert_eq(ServerOf("r-n1").m_shift_share, 100);
  cr_assert_eq(ServerOf("w-n1").m_shift_share, 10);
}

Test(ConfigBuild, RequestCap_BelowSlots_SharesSumToCap) {
  cr_assert_eq(ServerOf("r-n2").m_slots + ServerOf("w-n2").m_slots, 3);
}

Test(ConfigBuild, LinkCap_AllServersOfRegion_SharesSumToCap) {
  uint32_t sum = 0;
  for (const BackendServer& backend : g_config->m_backends) {
    sum += backend.m_link_shares.at(1);
  }
  cr_assert_eq(sum, 22);
}

}  // namespace
}  // namespace sorrelplank
