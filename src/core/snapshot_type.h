/// @file snapshot_type.h A checked configuration in the form that decisions
/// use.

#ifndef SORRELPLANK_CORE_SNAPSHOT_TYPE_H_
#define SORRELPLANK_CORE_SNAPSHOT_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/client_block_map.h"
#include "core/ids_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// A group of failure domains that are near each other.
struct Region {
  std::string m_name;
  NameHash m_hash;
};

/// A unit that fails as a whole; it has its own entry VMs and backend servers.
struct FailureDomain {
  std::string m_name;
  RegionId m_region;
};

/// Home of callers and location of backend servers.
struct Place {
  std::string m_name;
  NameHash m_hash;
  DomainId m_domain;
  RegionId m_region;
  /// Maximum of concurrent requests over all its backend servers.
  uint32_t m_request_cap = 0;
  /// Maximum of requests per second from callers whose home is another place.
  uint32_t m_shift_cap = 0;
  bool m_leaving = false;
};

/// A service that callers can request.
struct Service {
  std::string m_name;
  NameHash m_hash;
  bool m_idempotent = false;
  Duration m_deadline{};
  /// Retries allowed per first attempt, as a fraction.
  double m_retry_budget = 0;
  uint32_t m_body_limit_bytes = 0;
  /// Requests that may wait for a slot at one entry VM.
  uint32_t m_queue_limit = 0;
  /// Expected run time, used until one has been measured.
  Duration m_expected_run{};
};

/// A server of one service at one place.
struct BackendServer {
  std::string m_name;
  NameHash m_hash;
  ServiceId m_service;
  PlaceId m_place;
  std::string m_ip;
  uint16_t m_port = 0;
  /// Maximum of concurrent requests: its configured slots, reduced to its share
  /// of the request cap of the place.
  uint32_t m_slots = 0;
  uint32_t m_connections = 0;
  /// Its share of the shift cap of the place. Shares are fixed by the
  /// configuration, so their sum never exceeds the cap, whichever VMs hold the
  /// servers.
  uint32_t m_shift_share = 0;
  /// Its share of the cap of each region's link to here, indexed by region.
  std::vector<uint32_t> m_link_shares;
  bool m_leaving = false;
};

/// Limit of the link between two regions, in requests per second each way.
struct RegionLink {
  RegionId m_a;
  RegionId m_b;
  uint32_t m_cap = 0;
};

/// A planned move of part of one place's callers to another place.
struct Shift {
  std::string m_name;
  PlaceId m_from;
  PlaceId m_to;
  uint32_t m_percent = 0;
};

/// Weights in the choice of a place, and the percentage of the slots held that
/// is kept free of callers from other regions.
struct Policy {
  double m_latency_weight = 0.5;
  double m_headroom_weight = 0.5;
  uint32_t m_home_reserve_percent = 10;
  Duration m_lookup_ttl{};
  Duration m_region_latency{};
  Duration m_domain_latency{};
  /// How long a key of a non-idempotent request is remembered.
  Duration m_repeat_window{};
};

/// A complete configuration.
struct Snapshot {
  ConfigVersion m_version;
  std::vector<Region> m_regions;
  std::vector<FailureDomain> m_domains;
  std::vector<Place> m_places;
  std::vector<Service> m_services;
  std::vector<BackendServer> m_backends;
  std::vector<RegionLink> m_links;
  std::vector<Shift> m_shifts;
  std::vector<VmName> m_leaving_vms;
  ClientBlockMap m_client_blocks;
  Policy m_policy;

  /// Maps the hash of a name to the index of its row; filled by IndexNames.
  std::unordered_map<NameHash, ServiceId> m_service_ids;
  std::unordered_map<NameHash, PlaceId> m_place_ids;
  std::unordered_map<NameHash, BackendId> m_backend_ids;

  /// Fills the maps above. Call it when the tables are complete.
  void IndexNames();

  /// Returns the index of a service, place or backend server by the hash of its
  /// name.
  std::optional<ServiceId> FindService(NameHash hash) const;
  std::optional<PlaceId> FindPlace(NameHash hash) const;
  std::optional<BackendId> FindBackend(NameHash hash) const;

  const Service& Get(ServiceId id) const { return m_services[id.Get()]; }
  const Place& Get(PlaceId id) const { return m_places[id.Get()]; }
  const BackendServer& Get(BackendId id) const { return m_backends[id.Get()]; }

  /// Whether the link between two regions has a cap.
  bool HasLinkCap(RegionId a, RegionId b) const;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_SNAPSHOT_TYPE_H_
