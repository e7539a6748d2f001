/// @file steered_service.cc Rates and loads of a service.

#include "steer/steered_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steer/capacity_balance_func.h"
#include "steer/server_picker.h"
#include "steer/slot_time_fraction_func.h"

namespace sorrelplank {

namespace {

/// Number of attempts within which a change of the rejected fraction shows.
constexpr double kRejectionSamples = 20;
/// Change of the own region's share that is logged: about what may shift within
/// a second. With steps of 0.1, log lines were too rare to tell the allowed
/// speed from twice that speed.
constexpr double kLoggedShareStep = 0.05;
/// A service without requests for this long is not in use: the limit on shifts
/// compares two windows of 2 s.
constexpr Duration kUnusedAfter = seconds(4);
/// Lower bound of the processing time, so that the first responses do not lead
/// to an overestimated completion rate.
constexpr double kMinWorkMs = 50;
/// Lower bound of the fraction of a server's completions that this VM expects
/// for its own requests.
constexpr double kMinOwnFraction = 0.6;

}  // namespace

SteeredService::SteeredService(size_t regions,
                               size_t own,
                               Duration retry_window,
                               double uneven_capacity_ratio)
    : m_own_region(own),
      m_by_region(regions),
      m_shares(regions, own),
      m_retries(retry_window),
      m_hedges(regions),
      m_region_latencies(regions),
      m_uneven_capacity_ratio(uneven_capacity_ratio) {}

void SteeredService::AddServer(const std::shared_ptr<ServerState>& server) {
  m_servers[server->Entry().m_instance] = server;
  RegionServersOf(*server).Add(server.get());
}

void SteeredService::UpdateServer(ServerState& server,
                                  ServerEntry entry,
                                  TimePoint now) {
  RegionServersOf(server).Update(&server, std::move(entry), now);
}

uint64_t SteeredService::ServersExamined() const {
  uint64_t servers = 0;
  for (const RegionServers& list : m_by_region) {
    servers += list.Examined();
  }
  return servers;
}

void SteeredService::RemoveServer(const std::string& instance) {
  const auto it = m_servers.find(instance);
  if (it == m_servers.end()) {
    return;
  }
  RegionServersOf(*it->second).Remove(it->second.get());
  m_servers.erase(it);
}

void SteeredService::CountEnd(const ServerState& server,
                              const AttemptReport& report,
                              const std::string& route) {
  const bool has_free_slot =
      report.m_load && report.m_load->m_running < report.m_load->m_slots;
  const bool is_rejected =
      report.m_end == AttemptEnd::kRejected && has_free_slot;
  m_rejections += ((is_rejected ? 1 : 0) - m_rejections) / kRejectionSamples;
  if (report.m_end == AttemptEnd::kAnswered) {
    m_latency.Add(report.m_latency);
    const uint32_t slots = server.Entry().m_slots;
    m_region_latencies.Add(server.Region(), report, slots);
    const auto in_slot = std::chrono::duration_cast<Duration>(
        report.m_latency * SlotTimeFraction(report, slots));
    m_work[route].Add(std::max<Duration>(
        in_slot - m_region_latencies.ExtraNetworkTime(server.Region()),
        Duration::zero()));
    m_hedges.AddAnswer(server.Region(), in_slot,
                       report.m_load.value_or(ReportedLoad()).m_work_percent);
  }
}

ServiceBaseline SteeredService::UsualIn(size_t region) const {
  return {.m_latency = m_latency.Get(),
          .m_rejections = m_rejections,
          .m_slot_time = m_region_latencies.SlotTime(region),
          .m_is_uneven = m_is_uneven};
}

SendConditions SteeredService::ConditionsAt(const ServerState& server,
                                            const std::string& route,
                                            TimePoint now) const {
  const size_t region = server.Region();
  const ServiceBaseline usual = UsualIn(region);
  const auto work = m_work.find(route);
  return {
      .m_occupancy = server.Occupancy(now, usual),
      .m_slots = server.Entry().m_slots,
      .m_slot_time = usual.m_slot_time,
      .m_cached_work = work == m_work.end() ? std::nullopt : work->second.Get(),
      .m_round_trip = m_region_latencies.ExtraNetworkTime(region)};
}

bool SteeredService::KnowsWork(const std::string& route) const {
  const auto work = m_work.find(route);
  return work != m_work.end() && work->second.Get();
}

QueueState SteeredService::QueueAt(const ServerState* server,
                                   TimePoint now) const {
  QueueState queue;
  if (server == nullptr) {
    queue.m_usual_latency = m_region_latencies.Mean(m_own_region);
    return queue;
  }
  queue.m_usual_latency = m_region_latencies.Mean(server->Region());
  queue.m_ahead = server->Waiting();
  const double work_s =
      std::max(kMinWorkMs,
               ToMilliseconds(m_region_latencies.SlotTime(server->Region()))) /
      1000;
  // Freed slots go to whichever VM sends first; this VM expects its fraction of
  // the requests in flight.
  const double occupancy =
      std::max(1.0, server->Occupancy(now, UsualIn(server->Region())));
  const double fraction =
      std::max(kMinOwnFraction, server->InFlight() / occupancy);
  queue.m_completions_per_second = server->Entry().m_slots * fraction / work_s;
  return queue;
}

void SteeredService::UpdateShares(const ServerPicker& picker,
                                  double max_shift_per_second,
                                  const MovedAwayBounds& bounds,
                                  Duration shortest_target,
                                  TimePoint now) {
  std::vector<RegionLoad> loads;
  loads.reserve(m_by_region.size());
  std::vector<double> slots;
  slots.reserve(m_by_region.size());
  for (RegionServers& servers : m_by_region) {
    loads.push_back(servers.Measure(picker, now));
    slots.push_back(servers.RegisteredSlots());
  }
  m_is_uneven = IsCapacityUneven(slots, m_uneven_capacity_ratio);
  m_is_split_by_slots = m_is_uneven && MayRunInAnyRegion(shortest_target);
  m_shares.Update(loads, max_shift_per_second, bounds, now,
                  m_is_split_by_slots);
}

void SteeredService::NoteInUse(TimePoint now) {
  m_last_request = now;
  m_shares.Start();
}

bool SteeredService::IsInUse(TimePoint now) const {
  return m_last_request && now - *m_last_request < kUnusedAfter;
}

std::optional<bool> SteeredService::UnevenToLog() {
  if (m_is_uneven == m_logged_uneven) {
    return std::nullopt;
  }
  m_logged_uneven = m_is_uneven;
  return m_is_uneven;
}

std::optional<double> SteeredService::ShareToLog() {
  const double share = m_shares.Share(m_own_region);
  if (std::abs(share - m_logged_share) < kLoggedShareStep) {
    return std::nullopt;
  }
  m_logged_share = share;
  return share;
}

}  // namespace sorrelplank
