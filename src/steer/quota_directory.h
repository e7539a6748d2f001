/// @file quota_directory.h Assigns quotas to the entry VMs that keep them.

#ifndef SORRELPLANK_STEER_QUOTA_DIRECTORY_H_
#define SORRELPLANK_STEER_QUOTA_DIRECTORY_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// Each quota has one keeper per region, an entry VM that grants its tokens,
/// chosen by rendezvous hashing (highest random weight): entry VMs that know
/// the same fleet agree without messages, and a VM that joins or leaves moves
/// only its own quotas.
///
/// With a single keeper for all regions, its loss would stop a quota
/// everywhere, and two thirds of the quota requests would cross regions.
class QuotaDirectory {
 public:
  void SetFleet(const std::vector<FleetMember>& fleet);

  /// Name of the keeper VM; empty for a region without VMs.
  const std::string& KeeperIn(const std::string& region,
                              QuotaSubject subject) const;

 private:
  using Keepers = std::unordered_map<QuotaSubject, std::string>;

  std::map<std::string, std::vector<std::string>> m_vms_by_region;
  /// Keepers computed so far, by region.
  mutable std::map<std::string, Keepers> m_keeper_cache;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_DIRECTORY_H_
