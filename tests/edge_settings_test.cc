/// @file edge_settings_test.cc The memory of the VM in the settings file.

#include <criterion/criterion.h>

#include <string>

#include "proxy/edge_settings_type.h"

namespace sorrelplank {

// Guards against a bound, or a process that does not start, where the platform
// names no memory.
Test(EdgeSettings, Memory_PresentOrNot_IsRead) {
  const auto memory_of = [](const std::string& field) {
    const auto settings = ParseEdgeSettings(
        "{" + field + R"("vm":"v", "failure_domain":"d", "region":"r",
      "failure_domains":{"d":"r"}, "client_address":"10.0.0.1:80",
      "ready_address":"10.0.0.1:81", "directory_address":"10.0.0.1:82",
      "metrics_address":"10.0.0.1:83", "exchange_address":"10.0.0.1:84",
      "feed_address":"10.0.0.1:85", "quota_address":"10.0.0.1:85",
      "peer_address":"10.0.0.1:84",
      "store_address":"10.0.0.2:80", "shortest_lease_s":1, "longest_ttl_s":5,
      "stop_grace_s":6, "config_apply_s":2, "drain_s":2, "retry_ratio":0.2,
      "retry_extra":10, "retry_window_s":10, "cold_factor":1.5, "cold_slack":5,
      "most_shift":0.15})",
        "edge.json");
    return std::get<EdgeSettings>(settings).m_memory_bytes;
  };
  cr_assert_eq(memory_of(R"("memory_mb":160,)"), 160'000'000);
  cr_assert_eq(memory_of(""), 0);
  cr_assert_eq(memory_of(R"("memory_mb":null,)"), 0);
}

}  // namespace sorrelplank
