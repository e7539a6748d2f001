/// @file client_directory.h Answers clients that ask which entry VMs to use.

#ifndef SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_
#define SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "steer/fleet_member_type.h"

namespace sorrelplank {

struct DirectoryQuery;

/// Keeps the choice of addresses until the fleet changes.
///
/// Load pattern: thousands of clients ask every two seconds, mostly the same
/// few VMs, in a fleet of a thousand.
class ClientDirectory {
 public:
  /// Entry VMs that clients may be sent to.
  void SetFleet(std::vector<FleetMember> fleet);
  const std::vector<std::string>& AddressesFor(const DirectoryQuery& query);

  /// Choices that were made so far.
  uint64_t Choices() const { return m_choices; }

 private:
  std::vector<FleetMember> m_fleet;
  /// By the query's fields.
  std::map<std::string, std::vector<std::string>> m_addresses;
  uint64_t m_choices = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_CLIENT_DIRECTORY_H_
