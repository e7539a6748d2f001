/// @file directory.cc Choice of entry VMs for a client.

#include <algorithm>
#include <functional>

#include "proxy/directory_func.h"

namespace sorrelplank {

namespace {

using MemberTest = std::function<bool(const FleetMember&)>;

std::vector<std::string> Matching(const std::vector<FleetMember>& fleet,
                                  const MemberTest& test) {
  std::vector<std::string> addresses;
  for (const FleetMember& member : fleet) {
    if (addresses.size() < kMostDirectoryAddresses && test(member)) {
      addresses.push_back(member.m_client_address);
    }
  }
  return addresses;
}

}  // namespace

std::vector<std::string> ChooseAddresses(const std::vector<FleetMember>& fleet,
                                         const DirectoryQuery& query) {
  const auto& homes = query.m_home_regions;
  const MemberTest tests[] = {[&](const FleetMember& member) {
                                return member.m_region == query.m_region;
                              },
                              [&](const FleetMember& member) {
                                return std::find(homes.begin(), homes.end(),
                                                 member.m_region) !=
                                       homes.end();
                              },
                              [](const FleetMember&) { return true; }};
  for (const MemberTest& test : tests) {
    auto addresses = Matching(fleet, test);
    if (!addresses.empty()) {
      return addresses;
    }
  }
  return {};
}

}  // namespace sorrelplank
