/// @file steering_loading_test.cc Requests that arrive before the routing
/// table.

#include <criterion/criterion.h>

#include <memory>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// A VM that has just started.
struct LoadingFixture {
  TimePoint m_now{seconds(100)};
  std::vector<SteerAction> m_actions;
  Steering m_steering;

  LoadingFixture()
      : m_steering(MakeSettings(), [this](const SteerAction& action) {
          m_actions.push_back(action);
        }) {
    m_steering.SetLoading(true, m_now);
  }

  void Load(Duration target_latency = milliseconds(400)) {
    auto table = std::make_shared<RoutingTable>();
    table->m_version = 1;
    RouteRule route = MakeRoute("/read/", true);
    route.m_target_latency = target_latency;
    table->m_routes = {route};
    m_steering.Install(table, m_now);
    m_steering.PutServer({"a", "s", {1, 80}, "d1", 2, false, {}}, m_now);
    m_steering.SetLoading(false, m_now);
  }

  void Arrive(uint64_t id, const std::string& path) {
    m_steering.Arrived({RequestId(id), "h", path, 1, seconds(5)}, m_now);
  }

  SteerRefusal Reason(size_t at) const {
    return std::get<RefuseRequest>(m_actions.at(at)).m_reason;
  }
};

std::unique_ptr<LoadingFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<LoadingFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringLoading, .init = SetUp, .fini = TearDown);

// All entry VMs restart after a power loss. Clients connect as soon as a VM
// listens, some tenths of a second before it has read the store. They must get
// a server's response instead of a refusal that costs them a retry.
Test(SteeringLoading, Request_TableComesSoon_IsSent) {
  g_fixture->Arrive(1, "/read/x");
  cr_assert_eq(g_fixture->m_actions.size(), 0);
  g_fixture->m_now += milliseconds(500);
  g_fixture->Load();
  const auto& send = std::get<SendToServer>(g_fixture->m_actions.at(0));
  cr_assert_eq(send.m_time_left, Duration(milliseconds(1500)));
}

// The own region has one server of ten. Held requests start the split over
// regions; it must follow the servers' capacity instead of starting with all
// requests in the own region.
Test(SteeringLoading, Requests_FewServersAtHome_AreSpreadByCapacity) {
  for (uint64_t id = 1; id <= 20; ++id) {
    g_fixture->m_steering.Arrived(
        {RequestId(id), "h", "/read/x", id, seconds(5)}, g_fixture->m_now);
  }
  for (int server = 0; server < 9; ++server) {
    g_fixture->m_steering.PutServer(
        {"far" + std::to_string(server), "s", {1, 80}, "d3", 2, false, {}},
        g_fixture->m_now);
  }
  g_fixture->Load();
  size_t far = 0;
  for (const SteerAction& action : g_fixture->m_actions) {
    const auto* send = std::get_if<SendToServer>(&action);
    far += send != nullptr && send->m_instance.starts_with("far") ? 1 : 0;
  }
  cr_assert_geq(far, 8, "%zu", far);
}

// The store does not answer the VM's first call. It is unknown for how long, so
// held requests must be refused at once as not run.
Test(SteeringLoading, Store_GoesAway_HeldAreRefusedAsNotRun) {
  g_fixture->Arrive(1, "/read/x");
  g_fixture->m_steering.SetLoading(false, g_fixture->m_now);
  cr_assert_eq(g_fixture->Reason(0), SteerRefusal::kNotReady);
  g_fixture->Arrive(2, "/read/x");
  cr_assert_eq(g_fixture->Reason(1), SteerRefusal::kNotReady);
}

// The first read of the store neither completes nor fails.
Test(SteeringLoading, Table_DoesNotCome_IsRefusedWithinASecond) {
  g_fixture->Arrive(1, "/read/x");
  g_fixture->m_now += milliseconds(1000);
  g_fixture->m_steering.Tick(g_fixture->m_now);
  cr_assert_eq(g_fixture->Reason(0), SteerRefusal::kNotReady);
}

Test(SteeringLoading, Client_LeavesMeanwhile_NothingIsSent) {
  g_fixture->Arrive(1, "/read/x");
  g_fixture->m_steering.ClientLeft(RequestId(1), g_fixture->m_now);
  g_fixture->Load();
  cr_assert_eq(g_fixture->m_actions.size(), 0);
}

Test(SteeringLoading, Table_LacksTheRoute_Is404) {
  g_fixture->Arrive(1, "/other/");
  g_fixture->Load();
  cr_assert_eq(g_fixture->Reason(0), SteerRefusal::kNoRoute);
}

// A starting VM reads pages that may be seconds old, and receives later changes
// a moment later. A request that arrives in between must not go to the service
// that the route had before the last change.
Test(SteeringLoading, TableMayBeOld_RequestArrives_FollowsTheNewestTable) {
  auto old_table = std::make_shared<RoutingTable>();
  old_table->m_version = 1;
  old_table->m_routes = {MakeRoute("/read/", true)};
  old_table->m_routes[0].m_shares = {{"former", 1}};
  g_fixture->m_steering.Install(old_table, g_fixture->m_now);
  g_fixture->m_steering.PutServer({"b", "former", {1, 81}, "d1", 2, false, {}},
                                  g_fixture->m_now);
  g_fixture->Arrive(1, "/read/x");
  cr_assert(g_fixture->m_actions.empty());
  auto table = std::make_shared<RoutingTable>();
  table->m_version = 2;
  table->m_routes = {MakeRoute("/read/", true)};
  g_fixture->m_steering.Install(table, g_fixture->m_now);
  g_fixture->m_steering.PutServer({"a", "s", {1, 80}, "d1", 2, false, {}},
                                  g_fixture->m_now);
  g_fixture->m_steering.SetLoading(false, g_fixture->m_now);
  cr_assert_eq(g_fixture->m_actions.size(), 1U);
  cr_assert_str_eq(
      std::get<SendToServer>(g_fixture->m_actions[0]).m_instance.c_str(), "a");
}

// Guards against an uneven service starting with the split of an even one, from
// which it would move only slowly.
Test(SteeringLoading, UnevenService_FirstRequest_FindsSplitBySlots) {
  g_fixture->m_steering.PutServer({"far", "s", {1, 81}, "d3", 18, false, {}},
                                  g_fixture->m_now);
  g_fixture->Arrive(1, "/read/x");
  g_fixture->Load(milliseconds(600));
  double own_share = 1;
  for (const SteerAction& action : g_fixture->m_actions) {
    if (const auto* split = std::get_if<RegionSplitChanged>(&action)) {
      own_share = split->m_own_share;
    }
  }
  cr_assert_float_eq(own_share, 0.1, 1e-9);
}

}  // namespace
}  // namespace sorrelplank
