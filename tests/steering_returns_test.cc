/// @file steering_returns_test.cc Callers that return after a rejection.

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr Duration kBudget = seconds(4);

struct Caller {
  TimePoint m_called;
  bool m_is_impatient = false;
  int m_attempts = 0;

  bool IsReturning() const { return m_attempts > 1 && !m_is_impatient; }
};

/// Callers of one server with two slots, which has capacity for half of them. A
/// rejected caller returns once, as told; an impatient one twice, at once.
struct ReturnsFixture : SteeringFixture {
  std::map<RequestId, Caller> m_waiting;
  std::map<RequestId, Caller> m_sent;
  std::multimap<TimePoint, Caller> m_to_return;
  std::multimap<TimePoint, SendToServer> m_to_end;
  std::array<TimePoint, 2> m_slots{};
  size_t m_handled = 0;
  size_t m_answered = 0;
  size_t m_in_target = 0;
  size_t m_impatient_answered = 0;
  size_t m_passed_over = 0;
  size_t m_recognised = 0;

  /// 40 callers a second for the given time, of which one in `impatient` is
  /// impatient; then time for the last ones to return.
  ReturnsFixture(bool is_uneven, Duration time, uint64_t impatient) {
    RouteRule route = MakeRoute("/write/", false);
    route.m_home_regions = {"r1"};
    route.m_target_latency = milliseconds(600);
    Install(2, {route});
    m_steering.RemoveServer("b", m_now);
    if (is_uneven) {
      m_steering.PutServer({"c", "s", {1, 80}, "d3", 8, false, {}}, m_now);
    }
    Pass(milliseconds(200));
    m_handled = m_actions.size();
    const TimePoint end = m_now + time;
    for (uint64_t step = 0; m_now < end + seconds(3); ++step) {
      Step();
      if (m_now < end && step % 5 == 0) {
        Call({m_now, impatient > 0 && m_next % impatient == 0});
      }
    }
  }

  void Call(Caller caller) {
    const RequestId id(m_next++);
    ++caller.m_attempts;
    m_waiting[id] = caller;
    m_steering.Arrived(
        {id, "h", "/write/x", 1, kBudget - (m_now - caller.m_called)}, m_now);
    HandleActions();
  }

  void HandleActions() {
    for (; m_handled < m_actions.size(); ++m_handled) {
      if (const auto* send = std::get_if<SendToServer>(&m_actions[m_handled])) {
        const auto caller = m_waiting.extract(send->m_request);
        for (const auto& [id, other] : m_waiting) {
          m_passed_over +=
              other.IsReturning() && !caller.mapped().IsReturning() ? 1 : 0;
        }
        m_recognised += send->m_is_returning ? 1 : 0;
        m_sent[send->m_request] = caller.mapped();
        auto& slot = *std::min_element(m_slots.begin(), m_slots.end());
        slot = std::max(slot, m_now) + milliseconds(100);
        m_to_end.emplace(slot, *send);
      }
      if (const auto* no = std::get_if<RefuseRequest>(&m_actions[m_handled])) {
        const Caller caller = m_waiting.extract(no->m_request).mapped();
        if (caller.m_attempts < (caller.m_is_impatient ? 3 : 2)) {
          const Duration pause =
              caller.m_is_impatient ? milliseconds(40) : no->m_retry_after;
          m_to_return.emplace(m_now + pause, caller);
        }
      }
    }
  }

  void Step() {
    m_now += milliseconds(5);
    while (!m_to_end.empty() && m_to_end.begin()->first <= m_now) {
      const SendToServer send = m_to_end.extract(m_to_end.begin()).mapped();
      ++(m_sent.at(send.m_request).m_is_impatient ? m_impatient_answered
                                                  : m_answered);
      const Duration time = m_now - m_sent.at(send.m_request).m_called;
      m_in_target += time <= milliseconds(600) ? 1 : 0;
      End(send, AttemptEnd::kAnswered);
      HandleActions();
    }
    while (!m_to_return.empty() && m_to_return.begin()->first <= m_now) {
      Call(m_to_return.extract(m_to_return.begin()).mapped());
    }
    if (m_now.time_since_epoch() % milliseconds(20) == Duration::zero()) {
      m_steering.Tick(m_now);
      HandleActions();
    }
  }
};

TestSuite(SteeringReturns);

// Guards against the rejection of callers for good in favour of callers that
// could still return, and against a change in services that are spread evenly.
Test(SteeringReturns, SlotsForHalf_MoreCallersAreAnsweredInTheEnd) {
  const ReturnsFixture even(false, seconds(2), 0);
  const ReturnsFixture uneven(true, seconds(2), 0);
  cr_assert_gt(uneven.m_answered, even.m_answered + even.m_answered / 20);
  cr_assert_eq(uneven.m_passed_over, 0);
  cr_assert(even.m_recognised == 0 && uneven.m_recognised > 20);
}

// Guards against a lasting load making everybody late: all first calls are
// rejected, and return when their targets have passed.
Test(SteeringReturns, SlotsForHalf_ForTenSeconds_ManyAreAnsweredInTime) {
  const ReturnsFixture uneven(true, seconds(10), 0);
  cr_assert_gt(uneven.m_in_target, uneven.m_answered / 3);
}

// Guards against a reward for callers that repeat three times as often.
Test(SteeringReturns, AThirdRepeatsAtOnce_GainsNothing) {
  const ReturnsFixture uneven(true, seconds(5), 3);
  cr_assert_leq(2 * uneven.m_impatient_answered, uneven.m_answered);
}

// Guards against waiting in vain: the servers have free slots and shed, so a
// later return is rejected as often.
Test(SteeringReturns, RetriesSpentWithFreeSlots_ReturnsAtTheShortestTime) {
  SteeringFixture fixture;
  fixture.PutServer("d", "d1");
  fixture.PutServer("c", "d3");
  fixture.Pass(milliseconds(200));
  AttemptReport shed;
  shed.m_end = AttemptEnd::kRejected;
  shed.m_load = ReportedLoad{.m_running = 1, .m_waiting = 0, .m_slots = 2};
  while (fixture.Count<RefuseRequest>() == 0) {
    fixture.Arrive("/write/x");
    while (fixture.m_steering.Running() > 0) {
      const SendToServer& send = *fixture.Last<SendToServer>();
      fixture.m_steering.Ended(send.m_request, send.m_attempt, shed,
                               fixture.m_now);
    }
  }
  cr_assert_eq(fixture.LastReason(), SteerRefusal::kRetriesSpent);
  cr_assert(fixture.Last<RefuseRequest>()->m_retry_after == milliseconds(150));
}

}  // namespace
}  // namespace sorrelplank
