/// @file load_peers_test.cc Selection of the peers for the load exchange.

#include <criterion/criterion.h>

#include "proxy/load_peers_func.h"

namespace sorrelplank {
namespace {

constexpr uint16_t kPort = 7540;
const FleetMember kOwn{"a", "10.0.0.1:80", "d1", "north"};
const FleetMember kNear{"b", "10.0.0.2:80", "d2", "north"};
const FleetMember kFar{"c", "10.0.0.3:80", "d3", "south"};

TestSuite(LoadPeers);

// A region with few servers sends most of its requests to the servers of other
// regions, whose VMs receive the load reports of these servers.
Test(LoadPeers, SmallFleet_Chosen_AllOthersArePeers) {
  const auto peers = ChooseLoadPeers({kOwn, kNear, kFar}, kOwn, kPort);
  cr_assert_eq(peers.size(), 2);
  cr_assert_eq(peers[0].m_ip, 0x0a000002U);
  cr_assert_eq(peers[0].m_port, kPort);
}

Test(LoadPeers, LargeFleet_Chosen_OwnRegionArePeers) {
  std::vector<FleetMember> fleet(kMaxLoadPeers, kFar);
  fleet.push_back(kOwn);
  fleet.push_back(kNear);
  cr_assert_eq(ChooseLoadPeers(fleet, kOwn, kPort).size(), 1);
}

}  // namespace
}  // namespace sorrelplank
