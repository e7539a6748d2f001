/// @file client_directory.h Cached lookup of the entry VMs for a client.

#ifndef SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_
#define SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "steer/fleet_member_type.h"

namespace sorrelplank {

struct DirectoryQuery;

/// Answers clients that ask which entry VMs to use. Caches the addresses per
/// query until the fleet changes.
///
/// Load pattern: thousands of clients ask every two seconds, mostly the same
/// few VMs, in a fleet of a thousand.
class ClientDirectory {
 public:
  /// Sets the entry VMs that clients may be sent to and clears the cache.
  void SetFleet(std::vector<FleetMember> fleet);
  const std::vector<std::string>& AddressesFor(const DirectoryQuery& query);

  /// Number of queries whose addresses had to be computed.
  uint64_t CacheMisses() const { return m_cache_misses; }

 private:
  std::vector<FleetMember> m_fleet;
  /// Keyed by the concatenated fields of the query.
  std::map<std::string, std::vector<std::string>> m_cached_addresses;
  uint64_t m_cache_misses = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_
