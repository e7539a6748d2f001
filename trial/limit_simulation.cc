/// @file limit_simulation.cc Simulated network, clients and servers, and the
/// count of requests that reach a server.

#include "trial/limit_simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace sorrelplank::trial {

namespace {

constexpr size_t kRegions = 3;
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kLatencyInRegion = milliseconds(1);
constexpr Duration kLatencyBetweenRegions = milliseconds(55);
constexpr Duration kServiceTime = milliseconds(160);
constexpr uint32_t kSlots = 4;
constexpr size_t kObjects = 200;
constexpr Duration kClientTimeout = seconds(3);
/// A crashed entry VM is removed from the fleet after this time.
constexpr Duration kEntryLifetime = seconds(3);
/// Upper bound of the delay of updates from the store.
constexpr Duration kMaxStoreDelay = seconds(1);

// The bound that users rely on: at most 1.5 x limit x window + 5 requests in
// any window that ends at least the contact time after a limit was announced.
// Only requests of VMs that received a response with a limit at least
// kNoticeAge before are counted.
constexpr Duration kWindow = seconds(4);
constexpr Duration kContactTime = seconds(4);
constexpr Duration kNoticeAge = milliseconds(500);
constexpr double kExcessFactor = 1.5;
constexpr double kSlackRequests = 5;

std::string RegionOf(size_t vm_or_server) {
  return "r" + std::to_string(vm_or_server % kRegions);
}

std::string DomainOf(size_t vm_or_server) {
  return RegionOf(vm_or_server) +
         (vm_or_server / kRegions % 2 == 0 ? "a" : "b");
}

std::string NameOfVm(size_t vm) {
  return "vm-" + std::to_string(vm);
}

double SecondsOf(Duration time) {
  return ToMilliseconds(time) / 1000;
}

}  // namespace

struct LimitSimulation::Vm {
  std::unique_ptr<Steering> m_steering;
  bool m_is_partitioned = false;
  /// Number of the VM's current process; messages for an earlier one are
  /// dropped.
  uint64_t m_generation = 0;
  std::map<RequestId, TimePoint> m_open;
  /// Attempts that were cancelled; responses to them are dropped.
  std::vector<AttemptId> m_cancelled;
  /// When this process first received a limit of each server.
  std::map<size_t, TimePoint> m_notice_received;
};

struct LimitSimulation::Server {
  struct AnnouncedLimit {
    TimePoint m_from;
    double m_per_second;
  };

  size_t m_number = 0;
  uint64_t m_generation = 1;
  std::optional<double> m_limit;
  /// Limits announced since m_limited_since, the newest last.
  std::vector<AnnouncedLimit> m_limits;
  std::optional<TimePoint> m_limited_since;
  size_t m_busy = 0;
  std::deque<std::function<void()>> m_queue;
  std::deque<TimePoint> m_window;
  double m_max_window_ratio = 0;
  TimePoint m_max_window_end{};
  size_t m_arrived_while_limited = 0;
  double m_allowed_requests = 0;
  TimePoint m_allowed_until{};

  /// Adds the requests that the limit allowed since the last call.
  void CountAllowed(TimePoint now) {
    if (m_limit) {
      m_allowed_requests += *m_limit * SecondsOf(now - m_allowed_until);
    }
    m_allowed_until = now;
  }
};

LimitSimulation::LimitSimulation(const LimitSimulationOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_start_time(m_queue.Now()) {
  for (size_t vm = 0; vm < options.m_vms; ++vm) {
    m_vms.push_back(std::make_unique<Vm>());
  }
  for (size_t server = 0; server < options.m_servers; ++server) {
    m_servers.push_back(std::make_unique<Server>());
    m_servers.back()->m_number = server;
  }
}

LimitSimulation::~LimitSimulation() = default;

void LimitSimulation::SetLimit(size_t server, Duration at, double per_second) {
  m_queue.At(m_start_time + at, [this, server, per_second] {
    Server& changed = *m_servers[server];
    const TimePoint now = m_queue.Now();
    changed.CountAllowed(now);
    const bool had_limit = changed.m_limit.has_value();
    changed.m_limit = per_second < 0 ? std::nullopt : std::optional(per_second);
    if (!changed.m_limit) {
      changed.m_limits.clear();
      changed.m_limited_since.reset();
      return;
    }
    changed.m_limits.push_back({now, per_second});
    if (!had_limit) {
      changed.m_limited_since = now;
      for (const auto& vm : m_vms) {
        vm->m_notice_received.erase(server);
      }
    }
  });
}

void LimitSimulation::RestartServer(size_t server, Duration at) {
  SetLimit(server, at, -1);
  m_queue.At(m_start_time + at, [this, server] {
    ++m_servers[server]->m_generation;
    const ServerEntry entry = EntryOf(server);
    ForEachReachableVm([this, &entry](Steering& steering) {
      steering.PutServer(entry, m_queue.Now());
    });
  });
}

void LimitSimulation::LapseEntry(size_t server, Duration at) {
  const ServerEntry entry = EntryOf(server);
  m_queue.At(m_start_time + at, [this, entry] {
    ForEachReachableVm([this, &entry](Steering& steering) {
      steering.RemoveServer(entry.m_instance, m_queue.Now());
    });
  });
  m_queue.At(m_start_time + at + seconds(1), [this, server] {
    const ServerEntry again = EntryOf(server);
    ForEachReachableVm([this, &again](Steering& steering) {
      steering.PutServer(again, m_queue.Now());
    });
  });
}

void LimitSimulation::Kill(size_t vm, Duration at, Duration down) {
  m_queue.At(m_start_time + at, [this, vm] {
    m_vms[vm]->m_steering.reset();
    ++m_vms[vm]->m_generation;
    m_vms[vm]->m_open.clear();
    m_vms[vm]->m_notice_received.clear();
  });
  if (down > kEntryLifetime) {
    m_queue.At(m_start_time + at + kEntryLifetime,
               [this] { ScheduleFleetUpdates({}); });
  }
  m_queue.At(m_start_time + at + down, [this, vm] {
    StartVm(vm);
    ScheduleFleetUpdates(kMaxStoreDelay);
  });
}

void LimitSimulation::Partition(const std::vector<size_t>& vms,
                                Duration from,
                                Duration until) {
  m_queue.At(m_start_time + from, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_partitioned = true;
      m_vms[vm]->m_notice_received.clear();
    }
  });
  m_queue.At(m_start_time + from + kEntryLifetime, [this, vms] {
    ScheduleFleetUpdates({});
    for (const size_t vm : vms) {
      if (m_vms[vm]->m_steering && m_vms[vm]->m_is_partitioned) {
        m_vms[vm]->m_steering->SetMayBeReplaced(true);
      }
    }
  });
  m_queue.At(m_start_time + until, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_partitioned = false;
      if (m_vms[vm]->m_steering) {
        m_vms[vm]->m_steering->SetMayBeReplaced(false);
        InstallServers(vm);
      }
    }
    ScheduleFleetUpdates(kMaxStoreDelay);
  });
}

void LimitSimulation::Run(Duration length) {
  m_length = length;
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    StartVm(vm);
  }
  ScheduleFleetUpdates({});
  ScheduleNextRequest();
  Tick();
  while (m_queue.Now() < m_start_time + length && m_queue.RunOne()) {
  }
  for (const auto& server : m_servers) {
    server->CountAllowed(m_queue.Now());
  }
}

LimitResult LimitSimulation::ResultOf(size_t server) const {
  const Server& server_state = *m_servers[server];
  return {server_state.m_max_window_ratio,
          SecondsOf(server_state.m_max_window_end - m_start_time),
          static_cast<double>(server_state.m_arrived_while_limited) /
              std::max(0.001, server_state.m_allowed_requests)};
}

double LimitSimulation::MessagesPerSecond() const {
  return static_cast<double>(m_messages) /
         (SecondsOf(m_length) * static_cast<double>(m_vms.size()));
}

ServerEntry LimitSimulation::EntryOf(size_t server) const {
  return {.m_instance = "i-" + std::to_string(server),
          .m_service = "s",
          .m_address = {static_cast<uint32_t>(server + 1), 80},
          .m_failure_domain = DomainOf(server),
          .m_slots = kSlots,
          .m_started = milliseconds(1000 * m_servers[server]->m_generation)};
}

void LimitSimulation::StartVm(size_t vm) {
  SteeringSettings settings{.m_vm = NameOfVm(vm),
                            .m_failure_domain = DomainOf(vm),
                            .m_region = RegionOf(vm),
                            .m_regions = {},
                            .m_retry_ratio = 0.2,
                            .m_retry_extra = 64,
                            .m_retry_window = seconds(10),
                            .m_cold_factor = 1.5,
                            .m_cold_slack = 5,
                            .m_max_shift = 0.15};
  for (size_t place = 0; place < 2 * kRegions; ++place) {
    settings.m_regions[DomainOf(place)] = RegionOf(place);
  }
  auto& steering = m_vms[vm]->m_steering;
  steering = std::make_unique<Steering>(
      settings,
      [this, vm](const SteerAction& action) { HandleAction(vm, action); });
  auto table = std::make_shared<RoutingTable>();
  table->m_version = 1;
  table->m_routes = {{.m_name = "r",
                      .m_host = "h",
                      .m_prefix = "/",
                      .m_idempotent = true,
                      .m_timeout = kClientTimeout,
                      .m_target_latency = milliseconds(500),
                      .m_max_sends = 2,
                      .m_has_object_affinity = true,
                      .m_home_regions = {},
                      .m_shares = {{"s", 1}}}};
  table->m_services["s"] = {.m_name = "s", .m_max_connections = 400};
  steering->Install(table, m_queue.Now());
  InstallServers(vm);
  UpdateFleet(vm);
}

void LimitSimulation::InstallServers(size_t vm) {
  for (size_t server = 0; server < m_servers.size(); ++server) {
    m_vms[vm]->m_steering->PutServer(EntryOf(server), m_queue.Now());
  }
}

void LimitSimulation::UpdateFleet(size_t vm) {
  if (!m_vms[vm]->m_steering || m_vms[vm]->m_is_partitioned) {
    return;
  }
  std::vector<FleetMember> fleet;
  for (size_t other = 0; other < m_vms.size(); ++other) {
    if (m_vms[other]->m_steering && !m_vms[other]->m_is_partitioned) {
      fleet.push_back({NameOfVm(other), "", DomainOf(other), RegionOf(other)});
    }
  }
  m_vms[vm]->m_steering->SetFleet(fleet, m_queue.Now());
}

void LimitSimulation::ScheduleFleetUpdates(Duration delay) {
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    const Duration store_delay = delay * (m_random() % 100) / 100;
    m_queue.After(store_delay, [this, vm] { UpdateFleet(vm); });
  }
}

void LimitSimulation::ForEachReachableVm(
    const std::function<void(Steering&)>& apply) {
  for (const auto& vm : m_vms) {
    if (vm->m_steering && !vm->m_is_partitioned) {
      apply(*vm->m_steering);
    }
  }
}

void LimitSimulation::HandleAction(size_t vm, const SteerAction& action) {
  if (const auto* send = std::get_if<SendToServer>(&action)) {
    Send(vm, *send);
  } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
    m_vms[vm]->m_cancelled.push_back(cancel->m_attempt);
  } else if (const auto* answer = std::get_if<ForwardServerAnswer>(&action)) {
    ++m_counts.m_answered;
    m_counts.m_total_latency +=
        m_queue.Now() - m_vms[vm]->m_open.at(answer->m_request);
    m_vms[vm]->m_open.erase(answer->m_request);
  } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
    const bool is_not_run =
        DescribeSteerRefusal(refusal->m_reason).m_verdict == Verdict::kNotRun;
    m_counts.m_refused += is_not_run ? 1 : 0;
    m_counts.m_failed += is_not_run ? 0 : 1;
    m_vms[vm]->m_open.erase(refusal->m_request);
  } else if (const auto* quota_request =
                 std::get_if<SendQuotaRequest>(&action)) {
    for (size_t other = 0; other < m_vms.size(); ++other) {
      if (NameOfVm(other) == quota_request->m_request.m_keeper) {
        SendDatagram(vm, other, quota_request->m_request.m_quota_request);
      }
    }
  }
}

void LimitSimulation::Send(size_t vm, const SendToServer& action) {
  for (size_t server = 0; server < m_servers.size(); ++server) {
    if (EntryOf(server).m_instance != action.m_instance) {
      continue;
    }
    const Duration latency = RegionOf(vm) == RegionOf(server)
                                 ? kLatencyInRegion
                                 : kLatencyBetweenRegions;
    const uint64_t generation = m_vms[vm]->m_generation;
    m_queue.After(latency, [this, vm, generation, server, action] {
      if (m_vms[vm]->m_generation == generation) {
        ArriveAtServer(vm, server, action);
      }
    });
  }
}

void LimitSimulation::ArriveAtServer(size_t vm,
                                     size_t number,
                                     const SendToServer& action) {
  Server& server = *m_servers[number];
  CountRequest(vm, server);
  const auto start_work = [this, vm, number, action] {
    m_queue.After(kServiceTime, [this, vm, number, action] {
      SendResponse(vm, number, action);
    });
  };
  if (server.m_busy < kSlots) {
    ++server.m_busy;
    start_work();
  } else {
    server.m_queue.emplace_back(start_work);
  }
}

void LimitSimulation::SendResponse(size_t vm,
                                   size_t number,
                                   const SendToServer& action) {
  Server& server = *m_servers[number];
  if (server.m_queue.empty()) {
    --server.m_busy;
  } else {
    server.m_queue.front()();
    server.m_queue.pop_front();
  }
  const Duration latency = RegionOf(vm) == RegionOf(number)
                               ? kLatencyInRegion
                               : kLatencyBetweenRegions;
  const auto limit = server.m_limit;
  const uint64_t generation = m_vms[vm]->m_generation;
  m_queue.After(latency, [this, vm, number, action, limit, generation] {
    Vm& notified = *m_vms[vm];
    if (notified.m_generation != generation || !notified.m_steering) {
      return;
    }
    if (std::erase(notified.m_cancelled, action.m_attempt) > 0) {
      return;
    }
    if (limit && m_servers[number]->m_limit) {
      notified.m_notice_received.try_emplace(number, m_queue.Now());
    }
    AttemptReport report;
    report.m_end = AttemptEnd::kAnswered;
    report.m_latency = kServiceTime;
    report.m_notice.emplace();
    report.m_notice->m_max_per_second = limit;
    notified.m_steering->Ended(action.m_request, action.m_attempt, report,
                               m_queue.Now());
  });
}

void LimitSimulation::CountRequest(size_t vm, Server& server) {
  if (!server.m_limit) {
    return;
  }
  ++server.m_arrived_while_limited;
  const TimePoint now = m_queue.Now();
  const auto notified = m_vms[vm]->m_notice_received.find(server.m_number);
  const bool counts = notified != m_vms[vm]->m_notice_received.end() &&
                      now - notified->second >= kNoticeAge;
  if (!counts) {
    return;
  }
  server.m_window.push_back(now);
  while (now - server.m_window.front() >= kWindow) {
    server.m_window.pop_front();
  }
  if (now - *server.m_limited_since < kContactTime) {
    return;
  }
  // A lowered limit applies as late as a new one: the previous limit counts for
  // another window and contact time.
  double limit = server.m_limits.back().m_per_second;
  for (size_t at = 0; at + 1 < server.m_limits.size(); ++at) {
    if (now - server.m_limits[at + 1].m_from < kWindow + kContactTime) {
      limit = std::max(limit, server.m_limits[at].m_per_second);
    }
  }
  const double bound =
      limit * SecondsOf(kWindow) * kExcessFactor + kSlackRequests;
  const double ratio = static_cast<double>(server.m_window.size()) / bound;
  if (ratio > server.m_max_window_ratio) {
    server.m_max_window_ratio = ratio;
    server.m_max_window_end = now;
  }
}

bool LimitSimulation::IsReachable(size_t from, size_t to) const {
  return m_vms[to]->m_steering && !m_vms[from]->m_is_partitioned &&
         !m_vms[to]->m_is_partitioned;
}

void LimitSimulation::SendDatagram(size_t from,
                                   size_t to,
                                   const QuotaMessage& message) {
  ++m_messages;
  const bool is_lost =
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.m_loss;
  if (is_lost || !IsReachable(from, to)) {
    return;
  }
  // Encodes the message, as it would be sent.
  const std::string bytes = EncodeQuotaMessage(message);
  const Duration latency = RegionOf(from) == RegionOf(to)
                               ? kLatencyInRegion
                               : kLatencyBetweenRegions;
  const uint64_t generation = m_vms[to]->m_generation;
  m_queue.After(latency, [this, from, to, generation, bytes] {
    if (m_vms[to]->m_generation == generation && IsReachable(from, to)) {
      Deliver(from, to, *DecodeQuotaMessage(bytes.data(), bytes.size()));
    }
  });
}

void LimitSimulation::Deliver(size_t from,
                              size_t to,
                              const QuotaMessage& message) {
  Steering& steering = *m_vms[to]->m_steering;
  if (const auto* quota_request = std::get_if<QuotaRequest>(&message)) {
    SendDatagram(to, from, steering.GrantQuota(*quota_request, m_queue.Now()));
  } else {
    steering.ApplyQuotaGrant(std::get<QuotaGrant>(message), m_queue.Now());
  }
}

void LimitSimulation::ScheduleNextRequest() {
  const double gap_s =
      std::exponential_distribution<double>(m_options.m_per_second)(m_random);
  m_queue.After(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap_s)),
                [this] {
                  InjectRequest();
                  ScheduleNextRequest();
                });
}

void LimitSimulation::InjectRequest() {
  const size_t vm = m_random() % m_vms.size();
  const uint64_t object = m_random() % kObjects;
  if (!m_vms[vm]->m_steering) {
    return;
  }
  ++m_counts.m_arrived;
  const RequestId id(m_next_request++);
  m_vms[vm]->m_open[id] = m_queue.Now();
  m_vms[vm]->m_steering->Arrived(
      {id, "h", "/x", object, kClientTimeout, {}, {}}, m_queue.Now());
}

void LimitSimulation::Tick() {
  for (const auto& vm : m_vms) {
    if (vm->m_steering) {
      vm->m_steering->Tick(m_queue.Now());
    }
  }
  m_queue.After(kTickInterval, [this] { Tick(); });
}

}  // namespace sorrelplank::trial
