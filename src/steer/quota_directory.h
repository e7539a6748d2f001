/// @file quota_directory.h Which entry VM keeps which quota.

#ifndef SORRELPLANK_STEER_QUOTA_DIRECTORY_H_
#define SORRELPLANK_STEER_QUOTA_DIRECTORY_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// One keeper a region for each quota, by highest random weight: entry
/// VMs with the same fleet agree without a message, and a VM that comes or goes
/// moves only its own quotas.
///
/// One for all regions was weighed: its loss stops a quota everywhere,
/// and two thirds of the questions cross regions.
class QuotaDirectory {
 public:
  void SetFleet(const std::vector<FleetMember>& fleet);

  /// Name of the keeper's VM; empty for a region without VMs.
  const std::string& KeeperIn(const std::string& region,
                              QuotaSubject subject) const;

 private:
  using Keepers = std::unordered_map<QuotaSubject, std::string>;

  std::map<std::string, std::vector<std::string>> m_vms_by_region;
  /// Found so far, by region.
  mutable std::map<std::string, Keepers> m_found;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_DIRECTORY_H_
