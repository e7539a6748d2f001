/// @file config_build.cc Builds a snapshot from merged JSON.

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>

#include "config/config_parse_func.h"
#include "config/field_check.h"
#include "core/invariant_func.h"
#include "table/config_table.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

/// Entries of a section, sorted by name; empty if the section is absent.
const json& SectionOf(const json& merged, const char* section) {
  static const json none = json::object();
  const auto it = merged.find(section);
  return it == merged.end() ? none : *it;
}

/// A number or flag of an entry, or its default from the table.
template <typename Value>
Value Read(const json& entry, const char* section, const char* key) {
  if (entry.contains(key)) {
    return entry[key].get<Value>();
  }
  const FieldRow* row = FindField(kConfigTable, section, key);
  Invariant(row != nullptr, "each field that is read is in the table");
  return static_cast<Value>(row->m_default);
}

/// Maps the names of a section to ids, numbered in order of name.
template <typename Id>
std::map<std::string, Id> IndexOf(const json& section) {
  std::map<std::string, Id> ids;
  typename Id::RepType next = 0;
  for (const auto& [name, entry] : section.items()) {
    ids.emplace(name, Id(next++));
  }
  return ids;
}

/// Splits a cap in proportion to weights; the shares sum to exactly the cap.
std::vector<uint32_t> SplitCap(uint64_t cap,
                               const std::vector<uint32_t>& weights) {
  const uint64_t total =
      std::accumulate(weights.begin(), weights.end(), uint64_t{0});
  std::vector<uint32_t> shares(weights.size(), 0);
  if (total == 0) {
    return shares;
  }
  uint64_t assigned = 0;
  for (size_t index = 0; index < weights.size(); ++index) {
    shares[index] = static_cast<uint32_t>(cap * weights[index] / total);
    assigned += shares[index];
  }
  for (size_t index = 0; assigned < cap; index = (index + 1) % shares.size()) {
    ++shares[index];
    ++assigned;
  }
  return shares;
}

/// Builds one snapshot; each method fills one table.
class SnapshotBuilder {
 public:
  SnapshotBuilder(const json& merged, ConfigVersion version)
      : m_merged(merged) {
    m_snapshot.m_version = version;
  }

  Snapshot Build() {
    BuildPolicy();
    BuildPlaces();
    BuildServices();
    BuildBackends();
    BuildLinks();
    BuildShifts();
    BuildVms();
    BuildBlocks();
    m_snapshot.IndexNames();
    ApplyRequestCaps();
    ApplyShiftCaps();
    ApplyLinkCaps();
    return std::move(m_snapshot);
  }

 private:
  void BuildPolicy() {
    const json& entry = SectionOf(m_merged, "policy");
    Policy& policy = m_snapshot.m_policy;
    policy.m_latency_weight = Read<double>(entry, "policy", "latency_weight");
    policy.m_headroom_weight = Read<double>(entry, "policy", "headroom_weight");
    policy.m_home_reserve_percent =
        Read<uint32_t>(entry, "policy", "home_reserve_percent");
    policy.m_lookup_ttl =
        milliseconds(Read<int64_t>(entry, "policy", "lookup_ttl_ms"));
    policy.m_region_latency =
        microseconds(Read<int64_t>(entry, "policy", "region_latency_us"));
    policy.m_domain_latency =
        microseconds(Read<int64_t>(entry, "policy", "domain_latency_us"));
    policy.m_repeat_window =
        seconds(Read<int64_t>(entry, "policy", "repeat_window_s"));
  }

  void BuildPlaces() {
    const json& regions = SectionOf(m_merged, "regions");
    const json& domains = SectionOf(m_merged, "failure_domains");
    m_regions = IndexOf<RegionId>(regions);
    m_domains = IndexOf<DomainId>(domains);
    for (const auto& [name, entry] : regions.items()) {
      m_snapshot.m_regions.push_back({name, HashName(name)});
    }
    for (const auto& [name, entry] : domains.items()) {
      m_snapshot.m_domains.push_back({name, m_regions.at(entry["region"])});
    }
    const json& places = SectionOf(m_merged, "places");
    m_places = IndexOf<PlaceId>(places);
    for (const auto& [name, entry] : places.items()) {
      const DomainId domain = m_domains.at(entry["failure_domain"]);
      m_snapshot.m_places.push_back(
          {.m_name = name,
           .m_hash = HashName(name),
           .m_domain = domain,
           .m_region = m_snapshot.m_domains[domain.Get()].m_region,
           .m_request_cap = Read<uint32_t>(entry, "places", "request_cap"),
           .m_shift_cap = Read<uint32_t>(entry, "places", "shift_cap_rps"),
           .m_leaving = Read<bool>(entry, "places", "leaving")});
    }
  }

  void BuildServices() {
    const json& services = SectionOf(m_merged, "services");
    m_services = IndexOf<ServiceId>(services);
    for (const auto& [name, entry] : services.items()) {
      m_snapshot.m_services.push_back(
          {.m_name = name,
           .m_hash = HashName(name),
           .m_idempotent = entry["idempotent"],
           .m_deadline =
               milliseconds(Read<int64_t>(entry, "services", "deadline_ms")),
           .m_retry_budget =
               Read<double>(entry, "services", "retry_budget_percent") / 100,
           .m_body_limit_bytes =
               Read<uint32_t>(entry, "services", "body_limit_bytes"),
           .m_queue_limit = Read<uint32_t>(entry, "services", "queue_limit"),
           .m_expected_run = milliseconds(
               Read<int64_t>(entry, "services", "expected_run_ms"))});
    }
  }

  void BuildBackends() {
    for (const auto& [name, entry] :
         SectionOf(m_merged, "backend_servers").items()) {
      m_snapshot.m_backends.push_back(
          {.m_name = name,
           .m_hash = HashName(name),
           .m_service = m_services.at(entry["service"]),
           .m_place = m_places.at(entry["place"]),
           .m_ip = entry["ip"],
           .m_port = entry["port"],
           .m_slots = entry["slots"],
           .m_connections =
               Read<uint32_t>(entry, "backend_servers", "connections"),
           .m_shift_share = 0,
           .m_link_shares =
               std::vector<uint32_t>(m_snapshot.m_regions.size(), 0),
           .m_leaving = Read<bool>(entry, "backend_servers", "leaving")});
    }
  }

  void BuildLinks() {
    for (const auto& [name, entry] : SectionOf(m_merged, "links").items()) {
      m_snapshot.m_links.push_back({m_regions.at(entry["regions"][0]),
                                    m_regions.at(entry["regions"][1]),
                                    entry["cap_rps"]});
    }
  }

  void BuildShifts() {
    for (const auto& [name, entry] : SectionOf(m_merged, "shifts").items()) {
      m_snapshot.m_shifts.push_back({name, m_places.at(entry["from"]),
                                     m_places.at(entry["to"]),
                                     entry["percent"]});
    }
  }

  void BuildVms() {
    for (const auto& [name, entry] : SectionOf(m_merged, "entry_vms").items()) {
      if (Read<bool>(entry, "entry_vms", "leaving")) {
        m_snapshot.m_leaving_vms.push_back(name);
      }
    }
  }

  void BuildBlocks() {
    std::vector<ClientBlock> blocks;
    for (const auto& [text, place] :
         SectionOf(m_merged, "client_blocks").items()) {
      ClientBlock block;
      ParseBlock(text, block.m_address, block.m_prefix);
      block.m_place = m_places.at(place);
      blocks.push_back(block);
    }
    m_snapshot.m_client_blocks = ClientBlockMap(std::move(blocks));
  }

  /// Requests that a backend server can run in 1000 s, by its service's
  /// expected run time.
  uint32_t RequestsPer1000Seconds(const BackendServer& backend) const {
    const Duration run = m_snapshot.Get(backend.m_service).m_expected_run;
    return static_cast<uint32_t>(backend.m_slots * seconds(1000) / run);
  }

  /// Backend servers that match a condition, and their rates. Caps on requests
  /// per second are split by rate: if split by slots, a slow service would hold
  /// a share of the cap that it can never use.
  template <typename Condition>
  std::vector<BackendServer*> SelectWithRates(Condition condition,
                                              std::vector<uint32_t>& rates) {
    std::vector<uint32_t> slots;
    auto selected = Select(condition, slots);
    for (const BackendServer* backend : selected) {
      rates.push_back(RequestsPer1000Seconds(*backend));
    }
    return selected;
  }

  /// Backend servers that match a condition, and their slots.
  template <typename Condition>
  std::vector<BackendServer*> Select(Condition condition,
                                     std::vector<uint32_t>& slots) {
    std::vector<BackendServer*> selected;
    for (BackendServer& backend : m_snapshot.m_backends) {
      if (condition(backend)) {
        selected.push_back(&backend);
        slots.push_back(backend.m_slots);
      }
    }
    return selected;
  }

  /// Splits the cap of each place over its backend servers statically, so that
  /// entry VMs need not agree on how much of it each may use.
  void ApplyRequestCaps() {
    for (size_t index = 0; index < m_snapshot.m_places.size(); ++index) {
      const PlaceId place(static_cast<uint16_t>(index));
      const uint32_t cap = m_snapshot.Get(place).m_request_cap;
      std::vector<uint32_t> slots;
      const auto backends = Select(
          [&](const BackendServer& b) { return b.m_place == place; }, slots);
      if (cap == 0 ||
          cap >= std::accumulate(slots.begin(), slots.end(), uint64_t{0})) {
        continue;
      }
      const std::vector<uint32_t> shares = SplitCap(cap, slots);
      for (size_t backend_index = 0; backend_index < shares.size();
           ++backend_index) {
        backends[backend_index]->m_slots =
            std::min(backends[backend_index]->m_slots, shares[backend_index]);
      }
    }
  }

  void ApplyShiftCaps() {
    for (size_t index = 0; index < m_snapshot.m_places.size(); ++index) {
      const PlaceId place(static_cast<uint16_t>(index));
      std::vector<uint32_t> rates;
      const auto backends = SelectWithRates(
          [&](const BackendServer& b) { return b.m_place == place; }, rates);
      const std::vector<uint32_t> shares =
          SplitCap(m_snapshot.Get(place).m_shift_cap, rates);
      for (size_t backend_index = 0; backend_index < shares.size();
           ++backend_index) {
        backends[backend_index]->m_shift_share = shares[backend_index];
      }
    }
  }

  void ApplyLinkCaps() {
    for (const RegionLink& link : m_snapshot.m_links) {
      SplitLink(link.m_a, link.m_b, link.m_cap);
      SplitLink(link.m_b, link.m_a, link.m_cap);
    }
  }

  void SplitLink(RegionId from, RegionId to, uint32_t cap) {
    std::vector<uint32_t> rates;
    const auto backends = SelectWithRates(
        [&](const BackendServer& b) {
          return m_snapshot.Get(b.m_place).m_region == to;
        },
        rates);
    const std::vector<uint32_t> shares = SplitCap(cap, rates);
    for (size_t backend_index = 0; backend_index < shares.size();
         ++backend_index) {
      backends[backend_index]->m_link_shares[from.Get()] =
          shares[backend_index];
    }
  }

  const json& m_merged;
  Snapshot m_snapshot;
  std::map<std::string, RegionId> m_regions;
  std::map<std::string, DomainId> m_domains;
  std::map<std::string, PlaceId> m_places;
  std::map<std::string, ServiceId> m_services;
};

}  // namespace

Snapshot BuildSnapshot(const json& merged, ConfigVersion version) {
  return SnapshotBuilder(merged, version).Build();
}

}  // namespace sorrelplank
