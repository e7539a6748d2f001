/// @file decision_bench.cc One decision core that gets the records of a fleet
/// of 12 to 710 entry VMs in memory.

#include "bench/decision_bench.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "config/config_parse_func.h"
#include "core/node.h"
#include "net/peer_convert_func.h"
#include "proto/peer.pb.h"

namespace sorrelplank {

namespace {

using Clock = std::chrono::steady_clock;

/// Number of places of a fleet, and of the entry VMs spread over them.
struct FleetSize {
  int m_places;
  int m_vms;
};

constexpr FleetSize kSizes[] = {{6, 12},
                                {12, 60},
                                {24, 180},
                                {48, 400},
                                {73, 710}};
constexpr int kServices = 3;

std::shared_ptr<const Snapshot> MakeConfig(int places) {
  std::string text = R"({"regions":{"r0":{},"r1":{},"r2":{}},
    "failure_domains":{)";
  for (int domain = 0; domain < 7; ++domain) {
    text += std::string(domain > 0 ? "," : "") + "\"d" +
            std::to_string(domain) + R"(":{"region":"r)" +
            std::to_string(domain % 3) + "\"}";
  }
  text += R"(},"services":{)";
  for (int service = 0; service < kServices; ++service) {
    text += std::string(service > 0 ? "," : "") + "\"s" +
            std::to_string(service) +
            R"(":{"idempotent":true,"deadline_ms":2000})";
  }
  std::string places_text;
  std::string backends;
  for (int place = 0; place < places; ++place) {
    const std::string number = std::to_string(place);
    places_text += std::string(place > 0 ? "," : "") + "\"p" + number +
                   R"(":{"failure_domain":"d)" + std::to_string(place % 7) +
                   R"(","shift_cap_rps":100000})";
    for (int server = 0; server < 2 * kServices; ++server) {
      backends += std::string(backends.empty() ? "" : ",") + "\"b" + number +
                  "-" + std::to_string(server) + R"(":{"service":"s)" +
                  std::to_string(server % kServices) + R"(","place":"p)" +
                  number + R"(","ip":"10.)" + number + ".0." +
                  std::to_string(server + 1) + R"(","port":1,"slots":5})";
    }
  }
  text += "},\"places\":{" + places_text + "},\"backend_servers\":{" +
          backends + "}}";
  auto parsed = ParseConfig({{"1.json", text}}, ConfigVersion(1));
  return std::make_shared<const Snapshot>(
      std::move(std::get<Snapshot>(parsed)));
}

VmRecord MakeRecord(int vm, const FleetSize& size, uint64_t sequence) {
  VmRecord record;
  record.m_name = "vm-" + std::to_string(vm);
  record.m_place = HashName("p" + std::to_string(vm % size.m_places));
  record.m_address = {0x0A000000U + static_cast<uint32_t>(vm), 7070};
  record.m_caller_port = 8080;
  record.m_incarnation = Incarnation(1);
  record.m_sequence = sequence;
  record.m_ready = true;
  record.m_config_version = ConfigVersion(1);
  for (int service = 0; service < kServices; ++service) {
    record.m_slots.push_back({HashName("s" + std::to_string(service)), 5,
                              static_cast<uint32_t>(vm % 5)});
  }
  return record;
}

/// One node of a fleet, which receives the records of all others.
class SimulatedNode {
 public:
  explicit SimulatedNode(const FleetSize& size)
      : m_size(size),
        m_config(MakeConfig(size.m_places)),
        m_node({.m_name = "vm-0",
                .m_place = HashName("p0"),
                .m_address = {1, 1},
                .m_caller_port = 8080,
                .m_incarnation = Incarnation(1),
                .m_seed = 1},
               {},
               m_now) {
    Feed(SnapshotInstalled{m_config});
    for (int step = 0; step < 25; ++step) {
      Round();
    }
  }

  /// Simulates one heartbeat interval: each other VM's record arrives once.
  void Round() {
    ++m_sequence;
    m_now += milliseconds(300);
    const std::vector<GossipArrived> messages = MessagesOfRound();
    m_actions.clear();
    const auto started = Clock::now();
    for (const GossipArrived& message : messages) {
      m_node.Handle(message, m_now, m_actions);
    }
    m_node.Handle(Tick{}, m_now, m_actions);
    m_busy += Clock::now() - started;
  }

  /// Mean time of one decision, in microseconds.
  double DecisionUs() {
    constexpr uint64_t kCalls = 20000;
    const auto started = Clock::now();
    for (uint64_t call = 1; call <= kCalls; ++call) {
      IncomingCall incoming;
      incoming.m_request = RequestId(call);
      incoming.m_service = HashName("s" + std::to_string(call % kServices));
      m_actions.clear();
      m_node.Handle(CallArrived{incoming}, m_now, m_actions);
      // End the attempt, so that the next decision starts from the same state.
      for (const Action& action : m_actions) {
        const AttemptId* attempt = nullptr;
        if (const auto* here = std::get_if<DispatchToBackend>(&action)) {
          attempt = &here->m_attempt;
        } else if (const auto* there = std::get_if<HandOnToVm>(&action)) {
          attempt = &there->m_attempt;
        }
        if (attempt != nullptr) {
          const AttemptId id = *attempt;
          Actions rest;
          m_node.Handle(AttemptEnded{id, AttemptOutcome::kAnswered, {}, {}},
                        m_now, rest);
          break;
        }
      }
    }
    const std::chrono::duration<double, std::micro> took =
        Clock::now() - started;
    return took.count() / static_cast<double>(kCalls);
  }

  /// Encoded bytes that are sent in one heartbeat interval.
  size_t BytesOfRound() {
    size_t bytes = 0;
    for (const Action& action : m_actions) {
      const auto* gossip = std::get_if<SendGossip>(&action);
      if (gossip == nullptr) {
        continue;
      }
      proto::GossipMessage message;
      for (const VmRecord& record : gossip->m_records) {
        ToProto(record, *message.add_records());
      }
      bytes += message.ByteSizeLong();
    }
    return bytes;
  }

  double BusyUsPerRound(int rounds) {
    m_busy = {};
    for (int round = 0; round < rounds; ++round) {
      Round();
    }
    return std::chrono::duration<double, std::micro>(m_busy).count() / rounds;
  }

 private:
  /// Messages that arrive in one interval: from each VM of the same place its
  /// own record and the records of the places that it gossips with, and the
  /// records of the places that this node gossips with.
  std::vector<GossipArrived> MessagesOfRound() {
    const int vms_per_place = std::max(1, m_size.m_vms / m_size.m_places);
    std::vector<GossipArrived> messages(static_cast<size_t>(vms_per_place));
    for (int vm = m_size.m_places; vm < m_size.m_vms; vm += m_size.m_places) {
      const size_t sender =
          static_cast<size_t>(vm / m_size.m_places) % messages.size();
      messages[sender].m_records.push_back(MakeRecord(vm, m_size, m_sequence));
    }
    for (int place = 1; place < m_size.m_places; ++place) {
      const size_t gossip_sender =
          static_cast<size_t>(place) % static_cast<size_t>(vms_per_place);
      GossipArrived own;
      auto& records = gossip_sender == 0 ? own.m_records
                                         : messages[gossip_sender].m_records;
      for (int vm = place; vm < m_size.m_vms; vm += m_size.m_places) {
        records.push_back(MakeRecord(vm, m_size, m_sequence));
      }
      if (gossip_sender == 0) {
        messages.push_back(std::move(own));
      }
    }
    return messages;
  }

  void Feed(const Event& event) {
    m_actions.clear();
    m_node.Handle(event, m_now, m_actions);
  }

  FleetSize m_size;
  std::shared_ptr<const Snapshot> m_config;
  TimePoint m_now{seconds(100)};
  uint64_t m_sequence = 0;
  Actions m_actions;
  Clock::duration m_busy{};
  Node m_node;
};

}  // namespace

void BenchDecisions() {
  double baseline = 0;
  for (const FleetSize& size : kSizes) {
    SimulatedNode fleet(size);
    const double us = fleet.DecisionUs();
    baseline = baseline == 0 ? us : baseline;
    ReportBench("decision_at_" + std::to_string(size.m_vms) + "_vms", us, "us",
                baseline);
  }
}

void BenchControl() {
  constexpr double kIntervalsPerSecond = 1000.0 / 300;
  for (const FleetSize& size : kSizes) {
    const std::string at = "_at_" + std::to_string(size.m_vms) + "_vms";
    const size_t before = mallinfo2().uordblks;
    SimulatedNode fleet(size);
    const size_t after = mallinfo2().uordblks;
    const double us = fleet.BusyUsPerRound(20);
    constexpr double kCpuBudgetUsPerSecond = 0.029 * 1e6;
    constexpr double kBytesPerSecondBudget = 12 * 1024;
    constexpr double kMemoryBudgetBytes = 128.0 * 1024 * 1024;
    ReportBench("control_core_us_per_s" + at, us * kIntervalsPerSecond, "us/s",
                kCpuBudgetUsPerSecond);
    ReportBench("control_bytes_sent_per_s" + at,
                static_cast<double>(fleet.BytesOfRound()) * kIntervalsPerSecond,
                "bytes/s", kBytesPerSecondBudget);
    ReportBench("control_state" + at, static_cast<double>(after - before),
                "bytes", kMemoryBudgetBytes);
  }
}

}  // namespace sorrelplank
