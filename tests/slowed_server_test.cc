/// @file slowed_server_test.cc Servers slowed by other work on their machines.

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "proto/loads.pb.h"
#include "proxy/load_exchange.h"
#include "steer/hedge_policy.h"
#include "steer/machine_speed.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

constexpr Duration kTarget = milliseconds(600);

/// Servers "a" and "b" take all requests; one of another region, with many
/// slots, makes the service's capacity uneven.
struct SlowedFixture : SteeringFixture {
  explicit SlowedFixture(const SteeringSettings& settings = MakeSettings())
      : SteeringFixture(settings) {
    RouteRule read = MakeRoute("/read/", true);
    read.m_target_latency = kTarget;
    read.m_home_regions = {"r1"};
    RouteRule write = read;
    write.m_prefix = "/write/";
    write.m_idempotent = false;
    Install(2, {read, write});
    m_steering.PutServer({"a", "s", {1, 80}, "d1", 4, false, {}}, m_now);
    m_steering.PutServer({"b", "s", {1, 80}, "d2", 4, false, {}}, m_now);
    m_steering.PutServer({"far", "s", {1, 81}, "d3", 16, false, {}}, m_now);
    Pass(milliseconds(200));
  }

  void Answer(const SendToServer& send, Duration latency, ReportedLoad load) {
    const AttemptReport report{
        .m_end = AttemptEnd::kAnswered, .m_load = load, .m_latency = latency};
    m_steering.Ended(send.m_request, send.m_attempt, report, m_now);
  }

  /// A report that another VM received.
  void Report(const std::string& server, const ReportedLoad& load) {
    m_steering.ApplyPeerLoads({{HashName(server), load, {}}}, m_now);
  }

  /// Whether a request that is not answered is hedged within its target, after
  /// 40 answers in 250 ms each with the usual figure, and another figure.
  bool IsHedged(std::optional<uint32_t> usual,
                std::optional<uint32_t> other,
                Duration age = seconds(2),
                const std::string& path = "/read/x",
                uint32_t load = 1) {
    for (uint64_t object = 0; object < 40; ++object) {
      Arrive("/read/x", object);
      Answer(*Last<SendToServer>(), milliseconds(250), {1, 0, 4, usual});
    }
    Report("a", {1, 0, 4, other});
    Pass(age);
    for (int report = 0; report < 10; ++report) {
      Report("a", {load, 0, 4});
      Report("b", {load, 0, 4});
    }
    Pass(milliseconds(140));
    Arrive(path, 7);
    const size_t sends = Count<SendToServer>();
    Pass(kTarget);
    return Count<SendToServer>() > sends;
  }
};

/// Two servers as measured: 225 ms of work (standard deviation 15 %), 8 to
/// 20 ms of network one way, 2.5 times as long in spells of 0.6 s during 0.15
/// of the time, and 7 times as long for 0.03 of the requests.
struct Simulation : SlowedFixture {
  struct Attempt {
    SendToServer m_send;
    TimePoint m_sent;
    TimePoint m_ends;
  };
  struct Machine {
    double m_factor = 1;
    TimePoint m_changes{seconds(103)};
  };

  /// What servers report as their fourth figure. With kMostlyUsual, all are
  /// slowed at the same times.
  enum class Figure { kNone, kTrue, kMostlyUsual };

  Figure m_figure = Figure::kTrue;
  std::mt19937 m_random{7};
  std::map<std::string, Machine> m_machines{{"a", {}}, {"b", {}}};
  std::map<AttemptId, Attempt> m_attempts;
  std::map<RequestId, TimePoint> m_arrivals;
  std::vector<TimePoint> m_hedges;
  size_t m_seen = 0;
  int m_late = 0;

  double Draw(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(m_random);
  }
  static Duration Ms(double ms) {
    return microseconds(static_cast<int64_t>(ms * 1000));
  }

  void TakeActions() {
    for (; m_seen < m_actions.size(); ++m_seen) {
      const SteerAction& action = m_actions[m_seen];
      if (const auto* send = std::get_if<SendToServer>(&action)) {
        const double work = std::normal_distribution<>(225, 34)(m_random) *
                            (Draw(0, 1) < 0.03 ? 7 : 1) *
                            m_machines.at(send->m_instance).m_factor;
        m_attempts[send->m_attempt] = {*send, m_now,
                                       m_now + Ms(work + Draw(16, 40))};
        if (send->m_is_hedge) {
          m_hedges.push_back(m_now);
        }
      } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
        m_attempts.erase(cancel->m_attempt);
      } else if (const auto* end = std::get_if<ForwardServerAnswer>(&action)) {
        m_late += m_now - m_arrivals.at(end->m_request) > kTarget ? 1 : 0;
      }
    }
  }

  void Work() {
    for (auto& [name, machine] : m_machines) {
      if (m_now >= machine.m_changes) {
        const bool is_slowed = machine.m_factor == 1;
        machine.m_factor = is_slowed ? 2.5 : 1;
        machine.m_changes +=
            Ms(is_slowed                          ? 600
               : m_figure == Figure::kMostlyUsual ? 1400
                                                  : Draw(0, 6800));
      }
    }
    const std::map<AttemptId, Attempt> attempts = m_attempts;
    for (const auto& [id, attempt] : attempts) {
      if (m_now < attempt.m_ends || m_attempts.erase(id) == 0) {
        continue;
      }
      std::optional<uint32_t> figure;
      if (m_figure == Figure::kTrue) {
        figure = m_machines.at(attempt.m_send.m_instance).m_factor * 100;
      } else if (m_figure == Figure::kMostlyUsual) {
        figure = Draw(0, 1) < 0.1 ? 250 : 100;
      }
      Answer(attempt.m_send, m_now - attempt.m_sent, {1, 0, 4, figure});
      TakeActions();
    }
  }

  /// Eight requests a second for 200 s; returns the fraction answered late.
  double LateFraction() {
    for (int step = 0; step < 40000; ++step) {
      m_now += milliseconds(5);
      if (Draw(0, 1) < 0.04) {
        m_arrivals[Arrive("/read/x", m_random() % 12)] = m_now;
      }
      if (step % 4 == 0) {
        m_steering.Tick(m_now);
      }
      TakeActions();
      Work();
    }
    return m_late / static_cast<double>(m_arrivals.size());
  }
};

TestSuite(SlowedServer);

// A fifth of the responses was late at low load, because nothing reacted to a
// slowed server before the target was missed.
Test(SlowedServer, SpellsAsMeasured_FigureReported_ClearlyFewerAreLate) {
  Simulation without;
  without.m_figure = Simulation::Figure::kNone;
  const double before = without.LateFraction();
  Simulation with;
  const double after = with.LateFraction();
  cr_assert_gt(before, 0.05);
  cr_assert_lt(after, 0.7 * before, "%f instead of %f", after, before);
}

// All servers are slowed at once, while most reports still say otherwise: every
// request is overdue, and hedges must not use more than half of the budget.
Test(SlowedServer, AllSlowedAtOnce_ManyOverdue_StayWithinHalfOfTheBudget) {
  Simulation all;
  all.m_figure = Simulation::Figure::kMostlyUsual;
  all.LateFraction();
  cr_assert_gt(all.m_hedges.size(), all.m_arrivals.size() / 20);
  for (const TimePoint end : all.m_hedges) {
    double budget = 10;
    for (const auto& [request, arrived] : all.m_arrivals) {
      budget += arrived <= end && arrived > end - seconds(10) ? 0.2 : 0;
    }
    const auto hedges = std::count_if(
        all.m_hedges.begin(), all.m_hedges.end(), [end](TimePoint time) {
          return time <= end && time > end - seconds(10);
        });
    cr_assert_leq(static_cast<double>(hedges), budget / 2);
  }
}

// Rejected requests found the budget spent by hedges; or both together exceeded
// it.
Test(SlowedServer, Budget_HedgesThenFailures_ShareIt) {
  RetryBudgetShare budget(seconds(10));
  const TimePoint now(seconds(100));
  int hedges = 0;
  for (; budget.TrySpendHedge(0.2, 10, now); ++hedges) {
  }
  int failures = 0;
  for (; budget.TrySpend(0.2, 10, now); ++failures) {
  }
  cr_assert_eq(hedges, 5);
  cr_assert_eq(failures, 5);
}

// A figure that does not decay keeps requests away long after the spell.
Test(SlowedServer, Figure_Ages_HalvesAndThenCountsAsUsual) {
  MachineSpeed speed;
  const TimePoint start(seconds(50));
  const TimePoint later = start + milliseconds(300);
  speed.SetReported(250, start);
  cr_assert_float_eq(speed.Factor(start), 2.5, 0.01);
  speed.SetReported(std::nullopt, later);
  speed.SetReported(0, later);
  cr_assert_float_eq(speed.Factor(later), 1.75, 0.01);
  cr_assert_eq(speed.Factor(start + seconds(2)), 1);
}

// During an upgrade, VMs of both versions exchange loads. An older one sends no
// figures, and must get its four fields as before.
Test(SlowedServer, Datagram_OlderForm_IsUnderstoodBothWays) {
  proto::ServerLoads older;
  older.add_server(HashName("i-1").Get());
  older.add_running(3);
  older.add_waiting(7);
  older.add_age_ms(40);
  const std::string bytes = older.SerializeAsString();
  const auto decoded = DecodeLoads(bytes.data(), bytes.size());
  cr_assert_not(decoded.at(0).m_load.m_work_percent.has_value());
  cr_assert(EncodeLoads(decoded) == bytes);
  const std::string newer = EncodeLoads({{HashName("i-1"), {3, 7, 4, 250}, {}},
                                         {HashName("i-2"), {3, 7, 4}, {}}});
  const auto both = DecodeLoads(newer.data(), newer.size());
  cr_assert_eq(both.at(0).m_load.m_work_percent.value_or(0), 250);
  cr_assert_not(both.at(1).m_load.m_work_percent.has_value());
}

// A restarted server would start with the speed of its last run.
Test(SlowedServer, Figure_OfAnEarlierRun_IsIgnored) {
  const TimePoint start(seconds(10));
  const TimePoint now = start + milliseconds(20);
  ServerState server({"a", "s", {1, 80}, "d1", 4, false, {}}, 0, start);
  server.ApplyLoadReport({1, 0, 4, 250}, milliseconds(50), now);
  cr_assert_eq(server.WorkFactor(now), 1);
  server.ApplyLoadReport({1, 0, 4, 250}, milliseconds(10), now);
  cr_assert_gt(server.WorkFactor(now), 2);
}

// An object's requests stayed at the slowed server while its other server,
// which counts as having the object cached too, was free.
Test(SlowedServer, FirstServerSlowed_UnevenService_OtherTakesTheRequest) {
  SlowedFixture fixture;
  const uint64_t object = fixture.ObjectOf("a");
  fixture.Report("a", {1, 0, 4, 250});
  fixture.Arrive("/read/x", object);
  cr_assert(fixture.Last<SendToServer>()->m_instance == "b");
}

// The same in an even service, where a server has the object cached only once
// it was sent it: one that does not takes longer than a slowed one.
Test(SlowedServer, FirstServerSlowed_OtherHasObject_TakesTheRequest) {
  SteeringSettings settings = MakeSettings();
  settings.m_uneven_capacity_ratio = 0;
  SlowedFixture fixture(settings);
  const uint64_t object = fixture.ObjectOf("a");
  const auto server = [&] {
    fixture.Arrive("/read/x", object);
    return fixture.Last<SendToServer>()->m_instance;
  };
  fixture.Report("a", {1, 0, 4, 250});
  cr_assert(server() == "a");
  fixture.End(*fixture.Last<SendToServer>(), AttemptEnd::kRejected);
  fixture.End(*fixture.Last<SendToServer>(), AttemptEnd::kAnswered);
  fixture.Pass(milliseconds(100));
  cr_assert(server() == "b");
  fixture.Pass(seconds(2));
  cr_assert(server() == "a");
}

// The hedge must go out in time for the target, and end the slow attempt.
Test(SlowedServer, Attempt_TakesLong_HedgeAnswersAndCancelsIt) {
  SlowedFixture fixture;
  cr_assert(fixture.IsHedged(100, 250));
  const SendToServer hedge = *fixture.Last<SendToServer>();
  cr_assert(hedge.m_is_hedge);
  cr_assert_leq(hedge.m_waited, Duration(milliseconds(350)));
  fixture.End(hedge, AttemptEnd::kAnswered);
  cr_assert(fixture.Last<ForwardServerAnswer>()->m_is_hedge);
  cr_assert_eq(fixture.Count<CancelSend>(), 1);
}

// Elsewhere a slow answer is a queue or a cache miss, and a second copy adds
// load. A write that runs twice does harm.
Test(SlowedServer, FiguresMissingUniformOrOldOrWriteOrBusy_NoHedge) {
  cr_assert_not(SlowedFixture().IsHedged(std::nullopt, std::nullopt));
  cr_assert_not(SlowedFixture().IsHedged(100, 120));
  cr_assert_not(SlowedFixture().IsHedged(250, 250));
  cr_assert_not(SlowedFixture().IsHedged(100, 250, seconds(10)));
  cr_assert_not(SlowedFixture().IsHedged(100, 250, seconds(2), "/write/x"));
  cr_assert_not(SlowedFixture().IsHedged(100, 250, seconds(2), "/read/x", 4));
}

// A hedge must not wait for a slot, miss the cache or the target, use a limited
// server's rate, or fill slots that first attempts need.
Test(SlowedServer, OtherServer_CannotAnswerInTime_IsNotWorthwhile) {
  const HedgeCandidate good{true, true, false, 1, milliseconds(250), 0.7};
  std::array<HedgeCandidate, 6> all{good, good, good, good, good, good};
  all[1].m_has_free_slot = false;
  all[2].m_is_cached = false;
  all[3].m_is_rate_limited = true;
  all[4].m_work_factor = 1.2;
  all[5].m_region_utilisation = 0.71;
  for (const HedgeCandidate& candidate : all) {
    cr_assert_eq(HedgePolicy::IsWorthwhile(candidate, milliseconds(280)),
                 &candidate == all.data());
  }
}

}  // namespace
}  // namespace sorrelplank
