/// @file kept_connections_test.cc Idle connections of a whole fleet.

#include "steer/kept_connections_func.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

/// A deployment: entry VMs, and connections that a backend server bears.
struct FleetShape {
  size_t m_vms;
  uint32_t m_limit;
};

TestSuite(KeptConnections);

// Each VM kept up to 16 idle connections to a server, however many VMs there
// were. With 710 VMs that is 11,360 where a server bears 3,600; it resets those
// beyond its limit, some of them with a request on them. The idle ones of all
// VMs together leave half of the limit to those in use.
Test(KeptConnections, AllVmsTogether_AnyFleet_LeaveHalfOfTheLimit) {
  for (const FleetShape shape :
       {FleetShape{8, 330}, FleetShape{12, 390}, FleetShape{65, 1350},
        FleetShape{195, 3600}, FleetShape{710, 3600}, FleetShape{710, 330}}) {
    const size_t all =
        shape.m_vms * MostKeptConnections(shape.m_limit, shape.m_vms);
    cr_expect_leq(2 * all, shape.m_limit, "%zu VMs keep %zu of %u", shape.m_vms,
                  all, shape.m_limit);
  }
}

Test(KeptConnections, FewVmsOrNoLimit_KeepWhatTheyUse) {
  cr_expect_eq(MostKeptConnections(330, 8), 16U);
  cr_expect_eq(MostKeptConnections(0, 710), 16U);
  cr_expect_eq(MostKeptConnections(100, 0), 16U);
}

}  // namespace
}  // namespace sorrelplank
