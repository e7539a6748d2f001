/// @file placement_fleet.cc Servers' memory and queues, and clients that ask.

#include "tests/placement_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace sorrelplank {

namespace {

constexpr uint32_t kSlots = 6;
constexpr size_t kServerQueue = 18;
constexpr Duration kWork = milliseconds(1440);
constexpr Duration kWarmWork = milliseconds(360);
constexpr Duration kTarget = milliseconds(800);
constexpr Duration kTimeout = milliseconds(1500);
constexpr Duration kTick = milliseconds(20);
constexpr Duration kTell = milliseconds(60);
constexpr Duration kWindow = seconds(2);
constexpr Duration kWay = milliseconds(1);
constexpr Duration kWayToOtherRegion = milliseconds(20);
const char* const kRegions[] = {"r1", "r2", "r3"};

SteeringSettings SettingsOf(const std::string& vm, const std::string& region) {
  return {.m_vm = vm,
          .m_failure_domain = "d-" + region,
          .m_region = region,
          .m_regions = {{"d-r1", "r1"}, {"d-r2", "r2"}, {"d-r3", "r3"}},
          .m_retry_ratio = 0.2,
          .m_retry_extra = 50,
          .m_retry_window = seconds(10),
          .m_cold_factor = 1.5,
          .m_cold_slack = 5,
          .m_most_shift = 0.15};
}

std::shared_ptr<const RoutingTable> Table() {
  auto table = std::make_shared<RoutingTable>();
  table->m_version = 1;
  table->m_services["s"] = {.m_name = "s", .m_most_connections = 1000};
  table->m_routes.push_back({.m_name = "read",
                             .m_host = "h",
                             .m_prefix = "/",
                             .m_idempotent = true,
                             .m_timeout = kTimeout,
                             .m_target_latency = kTarget,
                             .m_most_sends = 2,
                             .m_keeps_objects_together = true,
                             .m_home_regions = {},
                             .m_shares = {{"s", 1}}});
  return table;
}

double PartOf(uint64_t some, uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(some) / static_cast<double>(all);
}

}  // namespace

double PlacementCounts::WarmPart() const {
  return PartOf(m_warm_runs, m_runs);
}

double PlacementCounts::InTargetPart() const {
  return PartOf(m_in_target, m_asked);
}

PlacementFleet::PlacementFleet(PlacementShape shape)
    : m_shape(shape), m_random(shape.m_seed) {
  for (const char* region : kRegions) {
    for (size_t number = 0; number < shape.m_servers_per_region; ++number) {
      Server& server =
          m_servers[std::string(region) + "-i-" + std::to_string(number)];
      server.m_region = region;
    }
    for (size_t number = 0; number < shape.m_vms_per_region; ++number) {
      m_vms.emplace_back().m_region = region;
    }
  }
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    Start(vm);
  }
  Tick();
  Tell();
  m_queue.After(seconds(2), [this] { AskNext(); });
  m_queue.After(kWindow, [this] { CloseWindow(); });
}

void PlacementFleet::Start(size_t vm) {
  Vm& entry = m_vms[vm];
  ++entry.m_incarnation;
  entry.m_open.clear();
  const std::string name = "vm-" + std::to_string(vm);
  entry.m_steering = std::make_unique<Steering>(
      SettingsOf(name, entry.m_region),
      [this, vm](const SteerAction& action) { Act(vm, action); });
  const TimePoint now = m_queue.Now();
  entry.m_steering->Install(Table(), now);
  for (const auto& [instance, server] : m_servers) {
    entry.m_steering->PutServer(
        {instance, "s", {1, 80}, "d-" + server.m_region, kSlots, false, {}},
        now);
  }
  std::vector<FleetMember> fleet;
  for (size_t other = 0; other < m_vms.size(); ++other) {
    const std::string& region = m_vms[other].m_region;
    fleet.push_back(
        {"vm-" + std::to_string(other), "10.0.0.1:80", "d-" + region, region});
  }
  entry.m_steering->SetFleet(fleet, now);
  entry.m_steering->Tick(now);
}

void PlacementFleet::Restart(size_t vm) {
  Start(vm);
}

void PlacementFleet::Act(size_t vm, const SteerAction& action) {
  if (const auto* send = std::get_if<SendToServer>(&action)) {
    Send(vm, *send);
  } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
    m_vms[vm].m_open.erase(refusal->m_request);
  } else if (const auto* answer = std::get_if<ForwardServerAnswer>(&action)) {
    auto& open = m_vms[vm].m_open;
    const auto it = open.find(answer->m_request);
    ++m_counts.m_answered;
    m_counts.m_in_target += m_queue.Now() - it->second.first <= kTarget ? 1 : 0;
    open.erase(it);
  }
}

void PlacementFleet::Send(size_t vm, const SendToServer& send) {
  const Run run{.m_vm = vm,
                .m_incarnation = m_vms[vm].m_incarnation,
                .m_request = send.m_request,
                .m_attempt = send.m_attempt,
                .m_object = m_vms[vm].m_open.at(send.m_request).second,
                .m_sent = m_queue.Now()};
  m_window[m_vms[vm].m_region][send.m_region] += 1;
  const bool is_near = send.m_region == m_vms[vm].m_region;
  m_queue.After(is_near ? kWay : kWayToOtherRegion,
                [this, run, name = send.m_instance] {
                  Server& server = m_servers.at(name);
                  if (server.m_running < kSlots) {
                    Begin(name, run);
                  } else if (server.m_queue.size() < kServerQueue) {
                    server.m_queue.push_back(run);
                  } else {
                    EndAttempt(run, AttemptEnd::kRejected, server);
                  }
                });
}

void PlacementFleet::Begin(const std::string& name, Run run) {
  Server& server = m_servers.at(name);
  ++server.m_running;
  auto& known = server.m_remembered;
  const auto at = std::find(known.begin(), known.end(), run.m_object);
  const bool is_warm = at != known.end();
  if (is_warm) {
    known.erase(at);
  }
  ++m_counts.m_runs;
  m_counts.m_warm_runs += is_warm ? 1 : 0;
  std::lognormal_distribution<double> spread(0, 0.15);
  const auto work = std::chrono::duration_cast<Duration>(
      (is_warm ? kWarmWork : kWork) * spread(m_random));
  m_queue.After(work, [this, name, run] { Finish(name, run); });
}

void PlacementFleet::Finish(const std::string& name, const Run& run) {
  Server& server = m_servers.at(name);
  --server.m_running;
  server.m_remembered.push_back(run.m_object);
  if (server.m_remembered.size() > m_shape.m_remembered) {
    server.m_remembered.pop_front();
  }
  EndAttempt(run, AttemptEnd::kAnswered, server);
  while (!server.m_queue.empty() && server.m_running < kSlots) {
    const Run next = server.m_queue.front();
    server.m_queue.pop_front();
    const bool is_late = m_queue.Now() - next.m_sent > kTimeout;
    if (is_late) {
      EndAttempt(next, AttemptEnd::kRejected, server);
    } else {
      Begin(name, next);
    }
  }
}

void PlacementFleet::EndAttempt(const Run& run,
                                AttemptEnd end,
                                const Server& server) {
  Vm& vm = m_vms[run.m_vm];
  if (vm.m_incarnation != run.m_incarnation) {
    return;
  }
  AttemptReport report;
  report.m_end = end;
  report.m_latency = m_queue.Now() - run.m_sent + kWay;
  report.m_load =
      ReportedLoad{.m_running = server.m_running,
                   .m_waiting = static_cast<uint32_t>(server.m_queue.size()),
                   .m_slots = kSlots};
  vm.m_steering->Ended(run.m_request, run.m_attempt, report, m_queue.Now());
}

void PlacementFleet::Tick() {
  for (Vm& vm : m_vms) {
    vm.m_steering->Tick(m_queue.Now());
  }
  m_queue.After(kTick, [this] { Tick(); });
}

void PlacementFleet::Tell() {
  const TimePoint now = m_queue.Now();
  for (Vm& vm : m_vms) {
    const auto loads = vm.m_steering->TakeUntoldLoads(now);
    const auto objects = vm.m_steering->TakeUntoldObjects(now);
    for (Vm& other : m_vms) {
      if (&other != &vm) {
        other.m_steering->TakeLoads(loads, now);
        other.m_steering->TakeObjects(objects, now);
      }
    }
  }
  m_queue.After(kTell, [this] { Tell(); });
}

void PlacementFleet::AskNext() {
  const size_t vm = m_random() % m_vms.size();
  const uint64_t object = 1 + m_random() % m_shape.m_objects;
  const RequestId id(m_next_request++);
  ++m_counts.m_asked;
  m_vms[vm].m_open[id] = {m_queue.Now(), object};
  m_vms[vm].m_steering->Arrived({id, "h", "/x", object, seconds(6)},
                                m_queue.Now());
  std::exponential_distribution<double> gap(m_shape.m_requests_per_second);
  m_queue.After(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(m_random))),
                [this] { AskNext(); });
}

void PlacementFleet::CloseWindow() {
  for (auto& [from, sends] : m_window) {
    double now_total = 0;
    double before_total = 0;
    for (const char* to : kRegions) {
      now_total += sends[to];
      before_total += m_window_before[from][to];
    }
    double changed = 0;
    for (const char* to : kRegions) {
      changed += std::abs(sends[to] / now_total -
                          m_window_before[from][to] / before_total) /
                 2;
    }
    if (before_total > 0) {
      m_counts.m_largest_shift = std::max(m_counts.m_largest_shift, changed);
    }
  }
  m_window_before = std::exchange(m_window, {});
  m_queue.After(kWindow, [this] { CloseWindow(); });
}

PlacementCounts PlacementFleet::RunFor(Duration time) {
  m_counts = PlacementCounts();
  bool is_over = false;
  m_queue.After(time, [&] { is_over = true; });
  while (!is_over) {
    m_queue.RunOne();
  }
  return m_counts;
}

}  // namespace sorrelplank
