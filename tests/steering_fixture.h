/// @file steering_fixture.h Fixture: one entry VM's decisions with two backend
/// servers.

#ifndef SORRELPLANK_TESTS_STEERING_FIXTURE_H_
#define SORRELPLANK_TESTS_STEERING_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "steer/steering.h"

namespace sorrelplank {

inline SteeringSettings MakeSettings() {
  return {.m_vm = "vm-1",
          .m_failure_domain = "d1",
          .m_region = "r1",
          .m_regions = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r2"}},
          .m_retry_ratio = 0.2,
          .m_retry_extra = 10,
          .m_retry_window = seconds(10),
          .m_cold_factor = 1.5,
          .m_cold_slack = 5,
          .m_max_shift = 0.15};
}

inline RouteRule MakeRoute(const std::string& prefix, bool is_idempotent) {
  return {.m_name = prefix,
          .m_host = "h",
          .m_prefix = prefix,
          .m_idempotent = is_idempotent,
          .m_timeout = seconds(2),
          .m_target_latency = milliseconds(400),
          .m_max_sends = 2,
          .m_has_object_affinity = true,
          .m_home_regions = {},
          .m_shares = {{"s", 1}}};
}

inline Organisation MakeOrganisation(const std::string& name,
                                     const std::string& key) {
  return {.m_name = name,
          .m_keys = {key},
          .m_priority = std::nullopt,
          .m_home_regions = {}};
}

/// Two servers with two slots each in the own region; an idempotent and a
/// non-idempotent route.
struct SteeringFixture {
  TimePoint m_now{seconds(100)};
  std::vector<SteerAction> m_actions;
  Steering m_steering;
  uint64_t m_next = 1;

  explicit SteeringFixture(const SteeringSettings& settings = MakeSettings())
      : m_steering(settings, [this](const SteerAction& action) {
          m_actions.push_back(action);
        }) {
    Install(1, {MakeRoute("/read/", true), MakeRoute("/write/", false)});
    m_steering.SetFleet({{"vm-1", "10.0.0.1:80", "d1", "r1"}}, m_now);
    PutServer("a", "d1");
    PutServer("b", "d2");
    Pass(seconds(3));
  }

  void Install(
      uint64_t version,
      std::vector<RouteRule> routes,
      std::optional<std::vector<Organisation>> organisations = std::nullopt) {
    auto table = std::make_shared<RoutingTable>();
    table->m_version = version;
    table->m_organisations = std::move(organisations);
    table->m_routes = std::move(routes);
    table->m_services["s"] = {.m_name = "s",
                              .m_max_connections = 100,
                              .m_cold_start = seconds(3),
                              .m_cold_per_second = 4};
    m_steering.Install(table, m_now);
  }

  void PutServer(const std::string& name,
                 const std::string& domain,
                 bool is_leaving = false,
                 Duration cold_left = {}) {
    m_steering.PutServer({name, "s", {1, 80}, domain, 2, is_leaving, cold_left},
                         m_now);
  }

  void Pass(Duration time) {
    for (Duration step{}; step < time; step += milliseconds(20)) {
      m_now += milliseconds(20);
      m_steering.Tick(m_now);
    }
  }

  RequestId Arrive(const std::string& path, uint64_t object = 1) {
    const RequestId id(m_next++);
    m_steering.Arrived({id, "h", path, object, seconds(5)}, m_now);
    return id;
  }

  /// A request with a client key.
  RequestId ArriveWithKey(const std::string& path,
                          const std::string& key,
                          uint64_t object = 1) {
    const RequestId id(m_next++);
    m_steering.Arrived({id, "h", path, object, seconds(5), {}, key}, m_now);
    return id;
  }

  /// A retry: all requests with the same digest count as one.
  RequestId ArriveAgain(const std::string& path, const RequestDigest& digest) {
    const RequestId id(m_next++);
    m_steering.Arrived({id, "h", path, 1, seconds(5), digest}, m_now);
    return id;
  }

  void End(const SendToServer& send, AttemptEnd end) {
    AttemptReport report;
    report.m_end = end;
    report.m_latency = milliseconds(100);
    m_steering.Ended(send.m_request, send.m_attempt, report, m_now);
  }

  /// Ends the send with a response that carries a server notice.
  void EndWithNotice(const SendToServer& send,
                     AttemptEnd end,
                     const ServerNotice& notice) {
    AttemptReport report;
    report.m_end = end;
    report.m_latency = milliseconds(100);
    report.m_notice = notice;
    m_steering.Ended(send.m_request, send.m_attempt, report, m_now);
  }

  /// Lets requests on different objects arrive 20 ms apart and answers each at
  /// once. Returns how many the server got.
  size_t SentTo(const std::string& server, uint64_t requests = 50) {
    size_t sent = 0;
    for (uint64_t object = 0; object < requests; ++object) {
      const size_t before = Count<SendToServer>();
      Arrive("/read/x", object);
      for (size_t send = before; send < Count<SendToServer>(); ++send) {
        sent += Last<SendToServer>()->m_instance == server ? 1 : 0;
        End(*Last<SendToServer>(), AttemptEnd::kAnswered);
      }
      m_now += milliseconds(20);
    }
    return sent;
  }

  /// An object that ranks the server first.
  uint64_t ObjectOf(const std::string& server) {
    for (uint64_t object = 1; object < 100; ++object) {
      Arrive("/read/x", object);
      const SendToServer send = *Last<SendToServer>();
      End(send, AttemptEnd::kAnswered);
      if (send.m_instance == server) {
        return object;
      }
    }
    return 0;
  }

  /// Fills both servers with writes on the object, and queues more for "a".
  /// Returns the last send to "a".
  SendToServer LetWritesWaitForA(uint64_t object) {
    RouteRule route = MakeRoute("/write/", false);
    route.m_target_latency = seconds(2);
    Install(2, {route});
    SendToServer at_a;
    for (int request = 0; request < 12; ++request) {
      Arrive("/write/x", object);
      if (Last<SendToServer>()->m_instance == "a") {
        at_a = *Last<SendToServer>();
      }
    }
    return at_a;
  }

  /// The last action of the given type, or nullptr.
  template <typename Action>
  const Action* Last() const {
    for (auto it = m_actions.rbegin(); it != m_actions.rend(); ++it) {
      if (const auto* action = std::get_if<Action>(&*it)) {
        return action;
      }
    }
    return nullptr;
  }

  template <typename Action>
  size_t Count() const {
    size_t count = 0;
    for (const SteerAction& action : m_actions) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }

  /// Lets requests on different objects arrive 20 ms apart for a second and
  /// answers each sent one at once. Returns how many were sent.
  size_t AnswerForOneSecond(const std::string& path) {
    size_t sent = 0;
    for (uint64_t step = 0; step < 50; ++step) {
      const size_t before = Count<SendToServer>();
      Arrive(path, step);
      if (Count<SendToServer>() > before) {
        ++sent;
        End(*Last<SendToServer>(), AttemptEnd::kAnswered);
      }
      m_now += milliseconds(20);
    }
    return sent;
  }

  SteerRefusal LastReason() const { return Last<RefuseRequest>()->m_reason; }
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_STEERING_FIXTURE_H_
