/// @file config_table.h Every field of the configuration folder.

#ifndef SORRELPLANK_TABLE_CONFIG_TABLE_H_
#define SORRELPLANK_TABLE_CONFIG_TABLE_H_

#include "config/field_type.h"

namespace sorrelplank {

inline constexpr double kMaxRequestsPerSecond = 10'000'000;

inline constexpr FieldRow kConfigTable[] = {
    {"policy", "latency_weight", FieldKind::kNumber, false, 0.5, 0, 1, "", "",
     "weight of latency in the choice of a place"},
    {"policy", "headroom_weight", FieldKind::kNumber, false, 0.5, 0, 1, "", "",
     "weight of free slots in the choice of a place"},
    {"policy", "home_reserve_percent", FieldKind::kInteger, false, 10, 0, 90,
     "%", "",
     "share of the held slots kept free of callers from other regions"},
    {"policy", "lookup_ttl_ms", FieldKind::kInteger, false, 2000, 100, 600000,
     "ms", "", "how long callers may cache a lookup response"},
    {"policy", "region_latency_us", FieldKind::kInteger, false, 20000, 1,
     1000000, "us", "", "one-way latency between regions"},
    {"policy", "domain_latency_us", FieldKind::kInteger, false, 500, 1, 1000000,
     "us", "", "one-way latency between failure domains of one region"},
    {"policy", "repeat_window_s", FieldKind::kInteger, false, 120, 1, 3600, "s",
     "", "how long idempotency keys are remembered"},

    {"failure_domains", "region", FieldKind::kReference, true, 0, 0, 0, "",
     "regions", "the region it is in"},

    {"places", "failure_domain", FieldKind::kReference, true, 0, 0, 0, "",
     "failure_domains", "the failure domain it is in"},
    {"places", "request_cap", FieldKind::kInteger, false, 0, 0, 1000000,
     "requests in flight", "",
     "cap over all its backend servers; 0: their slots are the cap"},
    {"places", "shift_cap_rps", FieldKind::kInteger, true, 0, 0,
     kMaxRequestsPerSecond, "requests/s", "",
     "cap on requests of callers with another home; 0: none are accepted"},
    {"places", "leaving", FieldKind::kBool, false, 0, 0, 0, "", "",
     "true: its backend servers get no new work"},

    {"entry_vms", "place", FieldKind::kReference, true, 0, 0, 0, "", "places",
     "the place it serves"},
    {"entry_vms", "leaving", FieldKind::kBool, false, 0, 0, 0, "", "",
     "true: lookups no longer name it and it holds no backend server"},

    {"services", "idempotent", FieldKind::kBool, true, 0, 0, 0, "", "",
     "true: running a request twice does no harm"},
    {"services", "deadline_ms", FieldKind::kInteger, true, 0, 10, 600000, "ms",
     "", "longest response time; callers may ask for less"},
    {"services", "retry_budget_percent", FieldKind::kInteger, false, 10, 0, 100,
     "%", "", "retries per hundred first attempts"},
    {"services", "body_limit_bytes", FieldKind::kInteger, false, 65536, 0,
     4194304, "bytes", "", "largest body of a request"},
    {"services", "queue_limit", FieldKind::kInteger, false, 32, 0, 10000,
     "requests", "", "requests that one entry VM may queue"},
    {"services", "expected_run_ms", FieldKind::kInteger, false, 20, 1, 600000,
     "ms", "", "typical run time, used until one is measured"},

    {"backend_servers", "service", FieldKind::kReference, true, 0, 0, 0, "",
     "services", "the service it runs"},
    {"backend_servers", "place", FieldKind::kReference, true, 0, 0, 0, "",
     "places", "the place it is in"},
    {"backend_servers", "ip", FieldKind::kIp, true, 0, 0, 0, "", "",
     "its IPv4 address"},
    {"backend_servers", "port", FieldKind::kInteger, true, 0, 1, 65535, "", "",
     "its TCP port"},
    {"backend_servers", "slots", FieldKind::kInteger, true, 0, 1, 10000,
     "requests in flight", "", "requests that it runs at once"},
    {"backend_servers", "connections", FieldKind::kInteger, false, 100, 1,
     100000, "connections", "", "connections that it accepts"},
    {"backend_servers", "leaving", FieldKind::kBool, false, 0, 0, 0, "", "",
     "true: it gets no new work"},

    {"links", "regions", FieldKind::kNamePair, true, 0, 0, 0, "", "regions",
     "the two regions that it connects"},
    {"links", "cap_rps", FieldKind::kInteger, true, 0, 0, kMaxRequestsPerSecond,
     "requests/s", "", "cap on requests over it, in each direction"},

    {"shifts", "from", FieldKind::kReference, true, 0, 0, 0, "", "places",
     "place whose callers are moved"},
    {"shifts", "to", FieldKind::kReference, true, 0, 0, 0, "", "places",
     "place that they are moved to"},
    {"shifts", "percent", FieldKind::kInteger, true, 0, 0, 100, "%", "",
     "share of the callers that is moved"},
};

/// All sections. Entries are named, except in policy and client_blocks.
inline constexpr std::string_view kConfigSections[] = {
    "policy",   "regions",         "failure_domains", "places", "entry_vms",
    "services", "backend_servers", "client_blocks",   "links",  "shifts"};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_CONFIG_TABLE_H_
