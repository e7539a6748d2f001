/// @file quota_world.cc Links, clients and the account of what passed.

#include "trial/quota_world.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "steer/quota_share_func.h"

namespace sorrelplank::trial {

namespace {

constexpr size_t kRegions = 3;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kWayInRegion = milliseconds(1);
constexpr Duration kWayBetweenRegions = milliseconds(20);
constexpr Duration kWork = milliseconds(100);
/// An entry VM that died is taken off the fleet after this long.
constexpr Duration kEntryLifetime = seconds(3);
/// News of the store is this late at the most.
constexpr Duration kLatestNews = seconds(1);
/// Header bytes of a datagram.
constexpr uint64_t kDatagramHead = 28;

constexpr QuotaBounds kBounds{.m_window = seconds(5),
                              .m_excess = 0.1,
                              .m_slack = 20};

std::string RegionOf(size_t vm) {
  return "r" + std::to_string(vm % kRegions);
}

std::string NameOfVm(size_t vm) {
  return "vm-" + std::to_string(vm);
}

double BoundOf(const Organisation& organisation) {
  return (organisation.m_rate_per_second * 5 + organisation.m_burst) *
             (1 + kBounds.m_excess) +
         kBounds.m_slack;
}

}  // namespace

double QuotaResult::Shortfall() const {
  if (m_owed == 0 || m_sent >= m_owed) {
    return 0;
  }
  return 1 - static_cast<double>(m_sent) / static_cast<double>(m_owed);
}

struct QuotaWorld::Vm {
  std::unique_ptr<Steering> m_steering;
  bool m_is_cut = false;
  /// Datagrams of a run that is over reach nobody.
  uint64_t m_run = 0;
  std::map<std::string, TokenBucket> m_equal_parts;
  std::map<RequestId, std::string> m_open;
};

/// What a window may hold, by one version of the configuration.
struct QuotaWorld::Bound {
  double m_requests = 0;
  uint64_t m_version = 0;
  /// A lower limit binds one window after all VMs have it.
  std::optional<TimePoint> m_binds;
};

struct QuotaWorld::Client {
  Organisation m_organisation;
  double m_per_second = 0;
  std::vector<size_t> m_vms;
  QuotaResult m_result;
  std::optional<TokenBucket> m_ideal;
  std::deque<TimePoint> m_window;
  /// Bounds, the newest last.
  std::vector<Bound> m_bounds;
};

QuotaWorld::QuotaWorld(const QuotaWorldOptions& options)
    : m_options(options), m_random(options.m_seed), m_began(m_queue.Now()) {
  for (size_t vm = 0; vm < options.m_vms; ++vm) {
    m_vms.push_back(std::make_unique<Vm>());
  }
}

QuotaWorld::~QuotaWorld() = default;

void QuotaWorld::AddOrganisation(const Organisation& organisation,
                                 double per_second) {
  auto client = std::make_unique<Client>();
  client->m_organisation = organisation;
  client->m_organisation.m_keys = {organisation.m_name};
  client->m_per_second = per_second;
  client->m_bounds = {{BoundOf(organisation), m_version, TimePoint()}};
  const size_t count = m_options.m_vms_of_clients == 0
                           ? m_vms.size()
                           : std::min(m_options.m_vms_of_clients, m_vms.size());
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    client->m_vms.push_back(vm);
  }
  std::shuffle(client->m_vms.begin(), client->m_vms.end(), m_random);
  client->m_vms.resize(count);
  m_clients[organisation.m_name] = std::move(client);
}

void QuotaWorld::SetDemand(const std::string& name,
                           Duration at,
                           double per_second) {
  m_queue.At(m_began + at, [this, name, per_second] {
    m_clients.at(name)->m_per_second = per_second;
  });
}

void QuotaWorld::SetLimit(const std::string& name,
                          Duration at,
                          double rate,
                          double burst) {
  m_queue.At(m_began + at, [this, name, rate, burst] {
    Client& client = *m_clients.at(name);
    client.m_organisation.m_rate_per_second = rate;
    client.m_organisation.m_burst = burst;
    ++m_version;
    client.m_bounds.push_back(
        {BoundOf(client.m_organisation), m_version, std::nullopt});
    for (size_t vm = 0; vm < m_vms.size(); ++vm) {
      const Duration late = kLatestNews * (m_random() % 100) / 100;
      m_queue.After(late, [this, vm] { Install(vm); });
    }
  });
}

void QuotaWorld::Kill(size_t vm, Duration at, Duration down) {
  m_queue.At(m_began + at, [this, vm] {
    m_vms[vm]->m_steering.reset();
    ++m_vms[vm]->m_run;
    m_vms[vm]->m_open.clear();
    m_vms[vm]->m_equal_parts.clear();
  });
  if (down > kEntryLifetime) {
    m_queue.At(m_began + at + kEntryLifetime, [this] { FleetChanged({}); });
  }
  m_queue.At(m_began + at + down, [this, vm] {
    Start(vm);
    FleetChanged(kLatestNews);
  });
}

void QuotaWorld::KillAll(Duration at, Duration down) {
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    Kill(vm, at, down);
  }
}

void QuotaWorld::Cut(const std::vector<size_t>& vms,
                     Duration from,
                     Duration until) {
  m_queue.At(m_began + from, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_cut = true;
    }
  });
  m_queue.At(m_began + from + kEntryLifetime, [this, vms] {
    FleetChanged({});
    for (const size_t vm : vms) {
      TellReplaced(vm, true);
    }
  });
  m_queue.At(m_began + until, [this, vms] {
    for (const size_t vm : vms) {
      m_vms[vm]->m_is_cut = false;
      TellReplaced(vm, false);
      Install(vm);
    }
    FleetChanged(kLatestNews);
  });
}

void QuotaWorld::Run(Duration length) {
  m_length = length;
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    Start(vm);
  }
  FleetChanged({});
  for (auto& [name, client] : m_clients) {
    const Organisation& organisation = client->m_organisation;
    client->m_ideal.emplace(
        QuotaShare{organisation.m_rate_per_second,
                   std::max(1.0, organisation.m_burst), organisation.m_burst},
        m_queue.Now());
    ArriveNext(name);
  }
  Tick();
  while (m_queue.Now() < m_began + length && m_queue.RunOne()) {
  }
}

QuotaResult QuotaWorld::ResultOf(const std::string& name) const {
  return m_clients.at(name)->m_result;
}

double QuotaWorld::MessagesPerSecond() const {
  return static_cast<double>(m_messages) /
         (ToMilliseconds(m_length) / 1000 * static_cast<double>(m_vms.size()));
}

double QuotaWorld::BytesPerSecond() const {
  return static_cast<double>(m_bytes) /
         (ToMilliseconds(m_length) / 1000 * static_cast<double>(m_vms.size()));
}

void QuotaWorld::Start(size_t vm) {
  const bool has_regions = m_options.m_way == QuotaWay::kKeeperOfARegion;
  SteeringSettings settings{.m_vm = NameOfVm(vm),
                            .m_failure_domain = RegionOf(vm),
                            .m_region = has_regions ? RegionOf(vm) : "all",
                            .m_regions = {},
                            .m_retry_ratio = 0,
                            .m_quotas = kBounds};
  for (size_t region = 0; region < kRegions; ++region) {
    settings.m_regions[RegionOf(region)] =
        has_regions ? RegionOf(region) : "all";
  }
  m_vms[vm]->m_steering = std::make_unique<Steering>(
      settings, [this, vm](const SteerAction& action) { Take(vm, action); });
  Install(vm);
  m_vms[vm]->m_steering->PutServer(
      {"i-" + RegionOf(vm), "s", {1, 80}, RegionOf(vm), 100000, false, {}, {}},
      m_queue.Now());
  TellFleet(vm);
}

void QuotaWorld::Install(size_t vm) {
  if (!m_vms[vm]->m_steering || m_vms[vm]->m_is_cut) {
    return;
  }
  auto table = std::make_shared<RoutingTable>();
  table->m_version = m_version;
  table->m_routes = {{.m_name = "r",
                      .m_host = "h",
                      .m_prefix = "/",
                      .m_idempotent = true,
                      .m_timeout = seconds(5),
                      .m_home_regions = {},
                      .m_shares = {{"s", 1}}}};
  table->m_services["s"] = {.m_name = "s"};
  table->m_organisations.emplace();
  for (const auto& [name, client] : m_clients) {
    Organisation organisation = client->m_organisation;
    if (m_options.m_way == QuotaWay::kEqualParts) {
      organisation.m_rate_per_second = 0;
    }
    table->m_organisations->push_back(organisation);
  }
  m_vms[vm]->m_steering->Install(table, m_queue.Now());
  BindNewestBounds();
}

void QuotaWorld::BindNewestBounds() {
  const bool is_everywhere =
      std::all_of(m_vms.begin(), m_vms.end(), [this](const auto& vm) {
        return !vm->m_is_cut && vm->m_steering &&
               vm->m_steering->Table() != nullptr &&
               vm->m_steering->Table()->m_version == m_version;
      });
  if (!is_everywhere) {
    return;
  }
  for (auto& [name, client] : m_clients) {
    for (Bound& bound : client->m_bounds) {
      if (!bound.m_binds) {
        bound.m_binds = m_queue.Now() + kBounds.m_window;
      }
    }
  }
}

void QuotaWorld::TellFleet(size_t vm) {
  if (!m_vms[vm]->m_steering || m_vms[vm]->m_is_cut) {
    return;
  }
  const bool has_regions = m_options.m_way == QuotaWay::kKeeperOfARegion;
  std::vector<FleetMember> fleet;
  for (size_t other = 0; other < m_vms.size(); ++other) {
    if (m_vms[other]->m_steering && !m_vms[other]->m_is_cut) {
      fleet.push_back({NameOfVm(other), "", RegionOf(other),
                       has_regions ? RegionOf(other) : "all"});
    }
  }
  m_vms[vm]->m_steering->SetFleet(fleet, m_queue.Now());
}

void QuotaWorld::TellReplaced(size_t vm, bool may_be) {
  if (m_vms[vm]->m_steering) {
    m_vms[vm]->m_steering->SetMayBeReplaced(may_be && m_vms[vm]->m_is_cut);
  }
}

void QuotaWorld::FleetChanged(Duration delay) {
  for (size_t vm = 0; vm < m_vms.size(); ++vm) {
    const Duration late = delay * (m_random() % 100) / 100;
    m_queue.After(late, [this, vm] { TellFleet(vm); });
  }
}

void QuotaWorld::Take(size_t vm, const SteerAction& action) {
  if (const auto* send = std::get_if<SendToServer>(&action)) {
    const TimePoint now = m_queue.Now();
    Client& client = *m_clients.at(m_vms[vm]->m_open.at(send->m_request));
    ++client.m_result.m_sent;
    client.m_window.push_back(now);
    while (now - client.m_window.front() >= kBounds.m_window) {
      client.m_window.pop_front();
    }
    double bound = 0;
    for (const auto& [requests, version, binds] : client.m_bounds) {
      const bool is_in_force = binds && *binds <= now;
      bound = is_in_force ? requests : std::max(bound, requests);
    }
    client.m_result.m_worst_window =
        std::max(client.m_result.m_worst_window,
                 static_cast<double>(client.m_window.size()) / bound);
    const uint64_t run = m_vms[vm]->m_run;
    m_queue.After(kWork, [this, vm, run, send = *send] {
      if (m_vms[vm]->m_run == run && m_vms[vm]->m_steering) {
        AttemptReport report;
        report.m_end = AttemptEnd::kAnswered;
        report.m_latency = kWork;
        m_vms[vm]->m_steering->Ended(send.m_request, send.m_attempt, report,
                                     m_queue.Now());
        m_vms[vm]->m_open.erase(send.m_request);
      }
    });
  } else if (const auto* ask = std::get_if<AskForTokens>(&action)) {
    for (size_t other = 0; other < m_vms.size(); ++other) {
      if (NameOfVm(other) == ask->m_question.m_keeper) {
        Carry(vm, other, ask->m_question.m_quota_request);
      }
    }
  }
}

bool QuotaWorld::IsLinked(size_t from, size_t to) const {
  return m_vms[to]->m_steering && !m_vms[from]->m_is_cut &&
         !m_vms[to]->m_is_cut;
}

void QuotaWorld::Carry(size_t from, size_t to, const QuotaMessage& message) {
  ++m_messages;
  m_bytes += kDatagramHead + EncodeQuotaMessage(message).size();
  const bool is_lost =
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.m_loss;
  if (is_lost || !IsLinked(from, to)) {
    return;
  }
  const Duration way =
      RegionOf(from) == RegionOf(to) ? kWayInRegion : kWayBetweenRegions;
  const uint64_t run = m_vms[to]->m_run;
  m_queue.After(way, [this, from, to, run, message] {
    if (m_vms[to]->m_run == run && IsLinked(from, to)) {
      Deliver(from, to, message);
    }
  });
}

void QuotaWorld::Deliver(size_t from, size_t to, const QuotaMessage& message) {
  Steering& steering = *m_vms[to]->m_steering;
  if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
    Carry(to, from, steering.AnswerQuotaAsk(*ask, m_queue.Now()));
  } else {
    steering.ApplyQuotaGrant(std::get<QuotaGrant>(message), m_queue.Now());
  }
}

void QuotaWorld::ArriveNext(const std::string& name) {
  Client& client = *m_clients.at(name);
  const double gap_s = std::exponential_distribution<double>(
      std::max(0.001, client.m_per_second))(m_random);
  m_queue.After(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap_s)),
                [this, name] {
                  Arrive(*m_clients.at(name));
                  ArriveNext(name);
                });
}

void QuotaWorld::Arrive(Client& client) {
  const size_t vm = client.m_vms[m_random() % client.m_vms.size()];
  if (!m_vms[vm]->m_steering) {
    return;
  }
  ++client.m_result.m_asked;
  const Organisation& organisation = client.m_organisation;
  client.m_ideal->SetShare(
      {organisation.m_rate_per_second, std::max(1.0, organisation.m_burst), 0},
      m_queue.Now());
  client.m_result.m_owed += client.m_ideal->Take(1, m_queue.Now());
  if (m_options.m_way == QuotaWay::kEqualParts &&
      !PassesEqualPart(vm, client)) {
    return;
  }
  const RequestId id(m_next_request++);
  m_vms[vm]->m_open[id] = organisation.m_name;
  m_vms[vm]->m_steering->Arrived(
      {id, "h", "/x", id.Get(), seconds(5), {}, organisation.m_name},
      m_queue.Now());
}

bool QuotaWorld::PassesEqualPart(size_t vm, const Client& client) {
  QuotaShare part =
      KeeperShare(TermsOf(client.m_organisation), kBounds, m_vms.size());
  part.m_initial = 0;
  const auto it =
      m_vms[vm]
          ->m_equal_parts
          .try_emplace(client.m_organisation.m_name, part, m_queue.Now())
          .first;
  it->second.SetShare(part, m_queue.Now());
  return it->second.Take(1, m_queue.Now()) > 0;
}

void QuotaWorld::Tick() {
  for (auto& vm : m_vms) {
    if (vm->m_steering) {
      vm->m_steering->Tick(m_queue.Now());
    }
  }
  m_queue.After(kTick, [this] { Tick(); });
}

}  // namespace sorrelplank::trial
