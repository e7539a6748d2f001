/// @file directory_func.h Selection of the entry VMs that a client should use.

#ifndef SORRELPLANK_PROXY_DIRECTORY_FUNC_H_
#define SORRELPLANK_PROXY_DIRECTORY_FUNC_H_

#include <string>
#include <vector>

#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// Location of a client and the constraints on the answer.
struct DirectoryQuery {
  std::string m_region;
  std::string m_failure_domain;
  /// Regions other than the client's own that may receive the bodies of
  /// requests for the host; empty means all regions.
  std::vector<std::string> m_home_regions;
};

/// Maximum number of addresses in one answer.
inline constexpr size_t kMaxDirectoryAddresses = 64;

/// Returns the entry VMs of the client's region; if it has none, those of the
/// home regions; otherwise all. If they are too many for one answer, VMs of the
/// client's failure domain come first; of a large domain, its largest VMs.
std::vector<const FleetMember*> ChooseClientVms(
    const std::vector<FleetMember>& fleet,
    const DirectoryQuery& query);

/// Returns the client addresses of the VMs that ChooseClientVms selects.
std::vector<std::string> ChooseAddresses(const std::vector<FleetMember>& fleet,
                                         const DirectoryQuery& query);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_DIRECTORY_FUNC_H_
