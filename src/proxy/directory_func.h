/// @file directory_func.h Which entry VMs a client is told to use.

#ifndef SORRELPLANK_PROXY_DIRECTORY_FUNC_H_
#define SORRELPLANK_PROXY_DIRECTORY_FUNC_H_

#include <string>
#include <vector>

#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// Where a client asks from, and what binds the answer.
struct DirectoryQuery {
  std::string m_region;
  std::string m_failure_domain;
  /// Regions that may take the bodies of requests of the host, beside the
  /// client's own; empty: all.
  std::vector<std::string> m_home_regions;
};

/// Most addresses in one answer.
inline constexpr size_t kMostDirectoryAddresses = 64;

/// The entry VMs of the client's region; where it has none, those of the home
/// regions, else all. Where they are too many for one answer, those of the
/// client's failure domain first; of a large domain, its largest VMs.
std::vector<const FleetMember*> ChooseClientVms(
    const std::vector<FleetMember>& fleet,
    const DirectoryQuery& query);

/// Their client addresses.
std::vector<std::string> ChooseAddresses(const std::vector<FleetMember>& fleet,
                                         const DirectoryQuery& query);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_DIRECTORY_FUNC_H_
