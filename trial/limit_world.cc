/// @file limit_world.cc Links, clients, servers and the account of what came.

#include "trial/limit_world.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace sorrelplank::trial {

namespace {

constexpr size_t kRegions = 3;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kWayInRegion = milliseconds(1);
constexpr Duration kWayBetweenRegions = milliseconds(55);
constexpr Duration kWork = milliseconds(160);
constexpr uint32_t kSlots = 4;
constexpr size_t kObjects = 200;
constexpr Duration kClientWaits = seconds(3);
/// An entry VM that died is taken off the fleet after this long.
constexpr Duration kEntryLifetime = seconds(3);
/// News of the store is this late at the most.
constexpr Duration kLatestNews = seconds(1);

// The users' bound: in any window, 1.5 x limit x window + 5, from the contact
// time on after a limit was named, by VMs that passed on such an answer this
// long before.
constexpr Duration kWindow = seconds(4);
constexpr Duration kContact = seconds(4);
constexpr Duration kTold = milliseconds(500);
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;

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

struct LimitWorld::Vm {
  std::unique_ptr<Steering> m_steering;
  bool m_is_cut = false;
  /// What belongs to a run that is over reaches nobody.
  uint64_t m_run = 0;
  std::map<RequestId, TimePoint> m_open;
  /// Sends that were given up.
  std::vector<AttemptId> m_cancelled;
  /// When this run was first told of a server's limit.
  std::map<size_t, TimePoint> m_told;
};

struct LimitWorld::Server {
  struct Named {
    TimePoint m_from;
    double m_per_second;
  };

  size_t m_number = 0;
  uint64_t m_run = 1;
  std::optional<double> m_limit;
  /// Limits of the time that counts for the bound, the newest last.
  std::vector<Named> m_named;
  std::optional<TimePoint> m_first_named;
  size_t m_busy = 0;
  std::deque<std::function<void()>> m_queue;
  std::deque<TimePoint> m_window;
  double m_worst = 0;
  TimePoint m_worst_at{};
  size_t m_arrived_while_limited = 0;
  double m_allowed = 0;
  TimePoint m_allowed_until{};

  /// Adds up what the limit allowed since this was called before.
  void CountAllowed(TimePoint now) {
    if (m_limit) {
      m_allowed += *m_limit * SecondsOf(now - m_allowed_until);
    }
    m_allowed_until = now;
  }
};

LimitWorld::LimitWorld(const LimitWorldOptions& options)
    : m_options(options), m_random(options.m_seed), m_began(m_queue.Now()) {
  for (size_t vm = 0; vm < options.m_vms; ++vm) {
    m_vms.push_back(std::make_unique<Vm>());
  }
  for (size_t server = 0; server < options.m_servers; ++server) {
    m_servers.push_back(std::make_unique<Server>());
    m_servers.back()->m_number = server;
  }
}

LimitWorld::~LimitWorld() = default;

void LimitWorld::SetLimit(size_t server, Duration at, double per_second) {
  m_queue.At(m_began + at, [this, server, per_second] {
    Server& changed = *m_servers[server];
    const TimePoint now = m_queue.Now();
    changed.CountAllowed(now);
    const bool had_limit = changed.m_limit.has_value();
    changed.m_limit = per_second < 0 ? std::nullopt : std::optional(per_second);
    if (!changed.m_limit) {
      changed.m_named.clear();
      changed.m_first_named.reset();
      return;
    }
    changed.m_named.push_back({now, per_second});
    if (!had_limit) {
      changed.m_first_named = now;
      for (const auto& vm : m_vms) {
        vm->m_told.erase(server);
      }
    }
  });
}

void LimitWorld::RestartServer(size_t server, Duration at) {
  SetLimit(server, at, -1);
  m_queue.At(m_began + at, [this, server] {
    ++m_servers[server]->m_run;
    const ServerEntry entry = EntryOf(server);
    ForEachLinkedVm([this, &entry](Steering& steering) {
      steering.PutServer(entry, m_queue.Now());
    });
  });
}

void LimitWorld::LapseEntry(size_t server, Duration at) {
  const ServerEntry entry = EntryOf(server);
  m_queue.At(m_began + at, [this, entry] {
    ForEachLinkedVm([this, &entry](Steering& steering) {
      steering.RemoveServer(entry.m_instance, m_queue.Now());
    });
  });
  m_queue.At(m_began + at + seconds(1), [this, server] {
    const ServerEntry again = EntryOf(server);
    ForEachLinkedVm([this, &again](Steering& steering) {
      steering.PutServer(again, m_queue.Now());
    });
  });
}

void LimitWorld::Kill(size_t vm, Duration at, Duration down) {
  m_queue.At(m_began + at, [this, vm] {
    m_vms[vm]->m_steering.reset();
    ++m_vms[vm]->m_run;
    m_vms[vm]->m_open.clear();
    m_vms[vm]->m_told.clear();
  });
  if (down > kEntryLifetime) {
    m_queue.At(m_began + at + kEntryLifetime, [this] { FleetChanged({}); });
  }
  m_queue.At(m_began + at + down, [this, vm] {
    StartVm(vm);
    FleetChanged(kLatestNews);
  });
}

void LimitWorld::Cut(const std::vector<size_t>& vms,
                     Duration from,
                     Duration until) {
  m_queue.At(m_began + from, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_cut = true;
      m_vms[vm]->m_told.clear();
    }
  });
  m_queue.At(m_began + from + kEntryLifetime, [this, vms] {
    FleetChanged({});
    for (const size_t vm : vms) {
      if (m_vms[vm]->m_steering && m_vms[vm]->m_is_cut) {
        m_vms[vm]->m_steering->SetMayBeReplaced(true);
      }
    }
  });
  m_queue.At(m_began + until, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_cut = false;
      if (m_vms[vm]->m_steering) {
        m_vms[vm]->m_steering->SetMayBeReplaced(false);
        TellServers(vm);
      }
    }
    FleetChanged(kLatestNews);
  });
}

void LimitWorld::Run(Duration length) {
  m_length = length;
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    StartVm(vm);
  }
  FleetChanged({});
  ArriveNext();
  Tick();
  while (m_queue.Now() < m_began + length && m_queue.RunOne()) {
  }
  for (const auto& server : m_servers) {
    server->CountAllowed(m_queue.Now());
  }
}

LimitResult LimitWorld::ResultOf(size_t server) const {
  const Server& named = *m_servers[server];
  return {named.m_worst, SecondsOf(named.m_worst_at - m_began),
          static_cast<double>(named.m_arrived_while_limited) /
              std::max(0.001, named.m_allowed)};
}

double LimitWorld::MessagesPerSecond() const {
  return static_cast<double>(m_messages) /
         (SecondsOf(m_length) * static_cast<double>(m_vms.size()));
}

ServerEntry LimitWorld::EntryOf(size_t server) const {
  return {.m_instance = "i-" + std::to_string(server),
          .m_service = "s",
          .m_address = {static_cast<uint32_t>(server + 1), 80},
          .m_failure_domain = DomainOf(server),
          .m_slots = kSlots,
          .m_started = milliseconds(1000 * m_servers[server]->m_run)};
}

void LimitWorld::StartVm(size_t vm) {
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
      settings, [this, vm](const SteerAction& action) { Take(vm, action); });
  auto table = std::make_shared<RoutingTable>();
  table->m_version = 1;
  table->m_routes = {{.m_name = "r",
                      .m_host = "h",
                      .m_prefix = "/",
                      .m_idempotent = true,
                      .m_timeout = kClientWaits,
                      .m_target_latency = milliseconds(500),
                      .m_max_sends = 2,
                      .m_has_object_affinity = true,
                      .m_home_regions = {},
                      .m_shares = {{"s", 1}}}};
  table->m_services["s"] = {.m_name = "s", .m_max_connections = 400};
  steering->Install(table, m_queue.Now());
  TellServers(vm);
  TellFleet(vm);
}

void LimitWorld::TellServers(size_t vm) {
  for (size_t server = 0; server < m_servers.size(); ++server) {
    m_vms[vm]->m_steering->PutServer(EntryOf(server), m_queue.Now());
  }
}

void LimitWorld::TellFleet(size_t vm) {
  if (!m_vms[vm]->m_steering || m_vms[vm]->m_is_cut) {
    return;
  }
  std::vector<FleetMember> fleet;
  for (size_t other = 0; other < m_vms.size(); ++other) {
    if (m_vms[other]->m_steering && !m_vms[other]->m_is_cut) {
      fleet.push_back({NameOfVm(other), "", DomainOf(other), RegionOf(other)});
    }
  }
  m_vms[vm]->m_steering->SetFleet(fleet, m_queue.Now());
}

void LimitWorld::FleetChanged(Duration delay) {
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    const Duration late = delay * (m_random() % 100) / 100;
    m_queue.After(late, [this, vm] { TellFleet(vm); });
  }
}

void LimitWorld::ForEachLinkedVm(const std::function<void(Steering&)>& tell) {
  for (const auto& vm : m_vms) {
    if (vm->m_steering && !vm->m_is_cut) {
      tell(*vm->m_steering);
    }
  }
}

void LimitWorld::Take(size_t vm, const SteerAction& action) {
  if (const auto* send = std::get_if<SendToServer>(&action)) {
    Send(vm, *send);
  } else if (const auto* cancel = std::get_if<CancelSend>(&action)) {
    m_vms[vm]->m_cancelled.push_back(cancel->m_attempt);
  } else if (const auto* answer = std::get_if<ForwardServerAnswer>(&action)) {
    ++m_counts.m_answered;
    m_counts.m_waited +=
        m_queue.Now() - m_vms[vm]->m_open.at(answer->m_request);
    m_vms[vm]->m_open.erase(answer->m_request);
  } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
    const bool is_not_run =
        DescribeSteerRefusal(refusal->m_reason).m_verdict == Verdict::kNotRun;
    m_counts.m_refused += is_not_run ? 1 : 0;
    m_counts.m_failed += is_not_run ? 0 : 1;
    m_vms[vm]->m_open.erase(refusal->m_request);
  } else if (const auto* ask = std::get_if<AskForTokens>(&action)) {
    for (size_t other = 0; other < m_vms.size(); ++other) {
      if (NameOfVm(other) == ask->m_question.m_keeper) {
        Carry(vm, other, ask->m_question.m_quota_request);
      }
    }
  }
}

void LimitWorld::Send(size_t vm, const SendToServer& action) {
  for (size_t server = 0; server < m_servers.size(); ++server) {
    if (EntryOf(server).m_instance != action.m_instance) {
      continue;
    }
    const Duration way =
        RegionOf(vm) == RegionOf(server) ? kWayInRegion : kWayBetweenRegions;
    const uint64_t run = m_vms[vm]->m_run;
    m_queue.After(way, [this, vm, run, server, action] {
      if (m_vms[vm]->m_run == run) {
        Reach(vm, server, action);
      }
    });
  }
}

void LimitWorld::Reach(size_t vm, size_t number, const SendToServer& action) {
  Server& server = *m_servers[number];
  Count(vm, server);
  const auto run = [this, vm, number, action] {
    m_queue.After(kWork,
                  [this, vm, number, action] { Answer(vm, number, action); });
  };
  if (server.m_busy < kSlots) {
    ++server.m_busy;
    run();
  } else {
    server.m_queue.emplace_back(run);
  }
}

void LimitWorld::Answer(size_t vm, size_t number, const SendToServer& action) {
  Server& server = *m_servers[number];
  if (server.m_queue.empty()) {
    --server.m_busy;
  } else {
    server.m_queue.front()();
    server.m_queue.pop_front();
  }
  const Duration way =
      RegionOf(vm) == RegionOf(number) ? kWayInRegion : kWayBetweenRegions;
  const auto limit = server.m_limit;
  const uint64_t run = m_vms[vm]->m_run;
  m_queue.After(way, [this, vm, number, action, limit, run] {
    Vm& told = *m_vms[vm];
    if (told.m_run != run || !told.m_steering) {
      return;
    }
    if (std::erase(told.m_cancelled, action.m_attempt) > 0) {
      return;
    }
    if (limit && m_servers[number]->m_limit) {
      told.m_told.try_emplace(number, m_queue.Now());
    }
    AttemptReport report;
    report.m_end = AttemptEnd::kAnswered;
    report.m_latency = kWork;
    report.m_notice.emplace();
    report.m_notice->m_max_per_second = limit;
    told.m_steering->Ended(action.m_request, action.m_attempt, report,
                           m_queue.Now());
  });
}

void LimitWorld::Count(size_t vm, Server& server) {
  if (!server.m_limit) {
    return;
  }
  ++server.m_arrived_while_limited;
  const TimePoint now = m_queue.Now();
  const auto told = m_vms[vm]->m_told.find(server.m_number);
  const bool counts =
      told != m_vms[vm]->m_told.end() && now - told->second >= kTold;
  if (!counts) {
    return;
  }
  server.m_window.push_back(now);
  while (now - server.m_window.front() >= kWindow) {
    server.m_window.pop_front();
  }
  if (now - *server.m_first_named < kContact) {
    return;
  }
  // A limit that was lowered binds like a new one.
  double limit = server.m_named.back().m_per_second;
  for (size_t at = 0; at + 1 < server.m_named.size(); ++at) {
    if (now - server.m_named[at + 1].m_from < kWindow + kContact) {
      limit = std::max(limit, server.m_named[at].m_per_second);
    }
  }
  const double bound = limit * SecondsOf(kWindow) * kExcess + kSlack;
  const double part = static_cast<double>(server.m_window.size()) / bound;
  if (part > server.m_worst) {
    server.m_worst = part;
    server.m_worst_at = now;
  }
}

bool LimitWorld::IsLinked(size_t from, size_t to) const {
  return m_vms[to]->m_steering && !m_vms[from]->m_is_cut &&
         !m_vms[to]->m_is_cut;
}

void LimitWorld::Carry(size_t from, size_t to, const QuotaMessage& message) {
  ++m_messages;
  const bool is_lost =
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.m_loss;
  if (is_lost || !IsLinked(from, to)) {
    return;
  }
  // As bytes, as they are sent.
  const std::string bytes = EncodeQuotaMessage(message);
  const Duration way =
      RegionOf(from) == RegionOf(to) ? kWayInRegion : kWayBetweenRegions;
  const uint64_t run = m_vms[to]->m_run;
  m_queue.After(way, [this, from, to, run, bytes] {
    if (m_vms[to]->m_run == run && IsLinked(from, to)) {
      Deliver(from, to, *DecodeQuotaMessage(bytes.data(), bytes.size()));
    }
  });
}

void LimitWorld::Deliver(size_t from, size_t to, const QuotaMessage& message) {
  Steering& steering = *m_vms[to]->m_steering;
  if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
    Carry(to, from, steering.AnswerQuotaAsk(*ask, m_queue.Now()));
  } else {
    steering.ApplyQuotaGrant(std::get<QuotaGrant>(message), m_queue.Now());
  }
}

void LimitWorld::ArriveNext() {
  const double gap_s =
      std::exponential_distribution<double>(m_options.m_per_second)(m_random);
  m_queue.After(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap_s)),
                [this] {
                  Arrive();
                  ArriveNext();
                });
}

void LimitWorld::Arrive() {
  const size_t vm = m_random() % m_vms.size();
  const uint64_t object = m_random() % kObjects;
  if (!m_vms[vm]->m_steering) {
    return;
  }
  ++m_counts.m_asked;
  const RequestId id(m_next_request++);
  m_vms[vm]->m_open[id] = m_queue.Now();
  m_vms[vm]->m_steering->Arrived({id, "h", "/x", object, kClientWaits, {}, {}},
                                 m_queue.Now());
}

void LimitWorld::Tick() {
  for (const auto& vm : m_vms) {
    if (vm->m_steering) {
      vm->m_steering->Tick(m_queue.Now());
    }
  }
  m_queue.After(kTick, [this] { Tick(); });
}

}  // namespace sorrelplank::trial
