/// @file steering_mix_test.cc Services whose splits over regions differ.

#include <criterion/criterion.h>

#include <cmath>
#include <memory>
#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr double kMaxShift = 0.15;
/// Requests in one window of these tests.
constexpr uint64_t kRequests = 400;

/// Settings under which splits follow the load, however uneven the slots are.
SteeringSettings MakeSettingsForLoad() {
  SteeringSettings settings = MakeSettings();
  settings.m_uneven_capacity_ratio = 0;
  return settings;
}

/// Two services, each with a third of its fair share of slots in the own
/// region, so that two thirds of the objects start elsewhere.
struct MixFixture : SteeringFixture {
  MixFixture() : SteeringFixture(MakeSettingsForLoad()) {
    RouteRule other = MakeRoute("/other/", true);
    other.m_shares = {{"t", 1}};
    Install(2, {MakeRoute("/read/", true), other});
    m_steering.RemoveServer("b", m_now);
    for (const char* service : {"s", "t"}) {
      for (int number = 0; number < 5; ++number) {
        Put(service + std::string("-far-") + std::to_string(number), service,
            "d3");
      }
    }
    Put("t-near", "t", "d1");
    Pass(seconds(3));
  }

  void Put(const std::string& name,
           const std::string& service,
           const std::string& domain) {
    m_steering.PutServer({name, service, {1, 80}, domain, 2, false, {}}, m_now);
  }

  void Report(const std::string& server, uint32_t running) {
    m_steering.ApplyPeerLoads({{HashName(server), {running, 0, 2}, {}}}, m_now);
  }

  /// Sends a request and answers it; returns whether it ran in the own region.
  bool RunsAtHome(const std::string& path, uint64_t object) {
    Arrive(path, object);
    const SendToServer send = *Last<SendToServer>();
    End(send, AttemptEnd::kAnswered);
    return send.m_region == "r1";
  }

  /// The own region's server of "s" is idle; that of "t" has no free slot. Each
  /// step sends one request of each service.
  void RunWithRoomAtHome(Duration time) {
    for (Duration step{}; step < time; step += milliseconds(100)) {
      Report("a", 0);
      Report("t-near", 2);
      for (const char* service : {"s", "t"}) {
        for (int number = 0; number < 5; ++number) {
          Report(service + std::string("-far-") + std::to_string(number), 2);
        }
      }
      RunsAtHome("/read/x", m_next);
      RunsAtHome("/other/x", m_next);
      Pass(milliseconds(100));
    }
  }

  /// Fraction of the requests that run in the own region if one in `every` is
  /// for "t".
  double HomeFraction(uint64_t every) {
    double at_home = 0;
    for (uint64_t request = 0; request < kRequests; ++request) {
      const bool is_other = request % every == 0;
      at_home += RunsAtHome(is_other ? "/other/x" : "/read/x", request) ? 1 : 0;
      m_now += milliseconds(1);
    }
    return at_home / kRequests;
  }
};

std::unique_ptr<MixFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<MixFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(SteeringMix, .init = SetUp, .fini = TearDown);

// One service has room in the own region and takes all its objects back; the
// other is full there and leaves its objects elsewhere. When the requests of
// the second one stop, a third of all requests would change region from one
// moment to the next, though no split shifts.
Test(SteeringMix, OneServiceMovedHome_OtherOnesRequestsStop_StaysInBound) {
  g_fixture->RunWithRoomAtHome(seconds(30));
  const double before = g_fixture->HomeFraction(2);
  const double after = g_fixture->HomeFraction(kRequests);
  cr_assert_leq(std::abs(after - before), kMaxShift, "%.2f at home, then %.2f",
                before, after);
}

// The other service has all its servers elsewhere and can never move home; it
// must not keep this one away.
Test(SteeringMix, OtherServiceHasNoServersAtHome_ServiceWithRoom_MovesHome) {
  g_fixture->m_steering.RemoveServer("t-near", g_fixture->m_now);
  g_fixture->RunWithRoomAtHome(seconds(30));
  cr_assert_gt(g_fixture->HomeFraction(kRequests), 0.9);
}

// The other service was at home from the start; moving home brings this one
// closer to it and must be allowed.
Test(SteeringMix, OtherServiceIsAtHome_ServiceWithRoom_MovesHome) {
  for (int number = 0; number < 5; ++number) {
    g_fixture->m_steering.RemoveServer("t-far-" + std::to_string(number),
                                       g_fixture->m_now);
  }
  g_fixture->Pass(seconds(1));
  g_fixture->RunWithRoomAtHome(seconds(30));
  cr_assert_gt(g_fixture->HomeFraction(kRequests), 0.9);
}

// The other service gets no more requests; it must not keep this one away.
Test(SteeringMix, OtherServiceUnused_ServiceWithRoom_MovesHome) {
  g_fixture->RunWithRoomAtHome(seconds(5));
  for (int step = 0; step < 300; ++step) {
    g_fixture->Report("a", 0);
    g_fixture->RunsAtHome("/read/x", g_fixture->m_next);
    g_fixture->Pass(milliseconds(100));
  }
  cr_assert_gt(g_fixture->HomeFraction(kRequests), 0.9);
}

}  // namespace
}  // namespace sorrelplank
