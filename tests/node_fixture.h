/// @file node_fixture.h Decision core of one entry VM with a small
/// configuration.

#ifndef SORRELPLANK_TESTS_NODE_FIXTURE_H_
#define SORRELPLANK_TESTS_NODE_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/config_parse_func.h"
#include "core/node.h"
#include "core/timing_type.h"

namespace sorrelplank {

/// Two places of one region and one of another. "read" is idempotent, "write"
/// is not; each has one server of two slots at each of n1 and n2.
inline std::string SmallConfig() {
  return R"({
    "policy": {"lookup_ttl_ms": 1000, "home_reserve_percent": 0},
    "regions": {"north": {}, "south": {}},
    "failure_domains": {"n1": {"region": "north"}, "n2": {"region": "north"},
                        "s1": {"region": "south"}},
    "places": {
      "n1": {"failure_domain": "n1", "shift_cap_rps": 100},
      "n2": {"failure_domain": "n2", "shift_cap_rps": 100},
      "s1": {"failure_domain": "s1", "shift_cap_rps": 100}},
    "services": {
      "read": {"idempotent": true, "deadline_ms": 1000, "queue_limit": 8},
      "write": {"idempotent": false, "deadline_ms": 1000, "queue_limit": 8}},
    "backend_servers": {
      "r-n1": {"service": "read", "place": "n1", "ip": "127.0.1.1",
               "port": 1, "slots": 2},
      "r-n2": {"service": "read", "place": "n2", "ip": "127.0.1.2",
               "port": 1, "slots": 2},
      "w-n1": {"service": "write", "place": "n1", "ip": "127.0.2.1",
               "port": 1, "slots": 2},
      "w-n2": {"service": "write", "place": "n2", "ip": "127.0.2.2",
               "port": 1, "slots": 2}},
    "client_blocks": {"10.1.0.0/16": "n1", "10.2.0.0/16": "n2",
                      "10.3.0.0/16": "s1"}})";
}

inline std::shared_ptr<const Snapshot> ParseSmall(uint64_t version,
                                                  const std::string& overlay) {
  ConfigFiles files{{"10.json", SmallConfig()}};
  if (!overlay.empty()) {
    files.push_back({"20.json", overlay});
  }
  auto parsed = ParseConfig(files, ConfigVersion(version));
  return std::make_shared<const Snapshot>(
      std::move(std::get<Snapshot>(parsed)));
}

/// A decision core at n1 that already holds both servers of n1.
class NodeFixture {
 public:
  explicit NodeFixture(Safeguards safeguards = {})
      : m_node({.m_name = "a",
                .m_place = HashName("n1"),
                .m_address = {1, 1},
                .m_caller_port = 8080,
                .m_incarnation = Incarnation(5),
                .m_seed = 1},
               safeguards,
               m_now) {
    Feed(SnapshotInstalled{ParseSmall(1, "")});
    Run(seconds(5));
  }

  /// Handles an event and keeps its actions.
  const Actions& Feed(const Event& event) {
    m_actions.clear();
    m_node.Handle(event, m_now, m_actions);
    return m_actions;
  }

  /// Advances the time, with a tick every 10 ms.
  void Run(Duration duration) {
    const TimePoint ends = m_now + duration;
    while (m_now < ends) {
      m_now += milliseconds(10);
      Feed(Tick{});
      m_tick_actions.insert(m_tick_actions.end(), m_actions.begin(),
                            m_actions.end());
    }
  }

  /// Advances the time without any event, as during a pause.
  void Pause(Duration duration) { m_now += duration; }

  IncomingCall MakeCall(const std::string& service, uint64_t request) {
    IncomingCall call;
    call.m_request = RequestId(request);
    call.m_service = HashName(service);
    call.m_caller_ip = (10U << 24U) | (1U << 16U) | 7U;
    return call;
  }

  const Actions& Call(const std::string& service, uint64_t request) {
    return Feed(CallArrived{MakeCall(service, request)});
  }

  /// Returns a record of another entry VM.
  VmRecord MakeRecord(const VmName& name,
                      const std::string& place,
                      uint64_t sequence) {
    VmRecord record;
    record.m_name = name;
    record.m_place = HashName(place);
    record.m_address = {static_cast<uint32_t>(100 + name[0]), 1};
    record.m_incarnation = Incarnation(1);
    record.m_sequence = sequence;
    record.m_ready = true;
    record.m_config_version = ConfigVersion(1);
    record.m_slots = {{HashName("read"), 2, 2}, {HashName("write"), 2, 2}};
    return record;
  }

  /// The first action of a kind from the last event; nullptr if none.
  template <typename Kind>
  const Kind* Find() const {
    for (const Action& action : m_actions) {
      if (const auto* found = std::get_if<Kind>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  /// Number of actions of a kind from all ticks so far.
  template <typename Kind>
  size_t CountInTicks() const {
    size_t count = 0;
    for (const Action& action : m_tick_actions) {
      count += std::holds_alternative<Kind>(action) ? 1 : 0;
    }
    return count;
  }

  TimePoint m_now{seconds(100)};
  Actions m_actions;
  Actions m_tick_actions;
  Node m_node;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_NODE_FIXTURE_H_
