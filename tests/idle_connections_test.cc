/// @file idle_connections_test.cc Limit on idle connections over a whole fleet.

#include "steer/idle_connections_func.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

/// Number of entry VMs, and of connections that a backend server accepts.
struct FleetShape {
  size_t m_vms;
  uint32_t m_limit;
};

TestSuite(IdleConnections);

// If each VM keeps up to 16 idle connections to a server regardless of the
// number of VMs, 710 VMs keep 11,360 where a server accepts 3,600; it resets
// those beyond its limit, some of them with a request on them. The idle
// connections of all VMs together must leave half of the limit to those in use.
Test(IdleConnections, AnyFleet_IdleOfAllVms_LeaveHalfOfTheLimit) {
  for (const FleetShape shape :
       {FleetShape{8, 330}, FleetShape{12, 390}, FleetShape{65, 1350},
        FleetShape{195, 3600}, FleetShape{710, 3600}, FleetShape{710, 330}}) {
    const size_t all =
        shape.m_vms * MaxIdleConnections(shape.m_limit, shape.m_vms);
    cr_expect_leq(2 * all, shape.m_limit, "%zu VMs keep %zu of %u", shape.m_vms,
                  all, shape.m_limit);
  }
}

Test(IdleConnections, FewVmsOrNoLimit_EachVm_KeepsTheMaximum) {
  cr_expect_eq(MaxIdleConnections(330, 8), 16U);
  cr_expect_eq(MaxIdleConnections(0, 710), 16U);
  cr_expect_eq(MaxIdleConnections(100, 0), 16U);
}

}  // namespace
}  // namespace sorrelplank
