/// @file steered_service.cc Rates and loads of a service.

#include "steer/steered_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steer/server_picker.h"

namespace sorrelplank {

namespace {

/// Sends after which a change of the part that is rejected shows.
constexpr double kRejectionSamples = 20;
/// Change of the own region's share that is worth a log line: about what may
/// move in a second. In steps of a tenth, lines came too seldom to tell the
/// allowed speed from twice of it.
constexpr double kToldStep = 0.05;
/// A service without a request for this long is not in use: the bound on shifts
/// compares two windows of 2 s.
constexpr Duration kUnusedAfter = seconds(4);
/// Milliseconds; keeps the first answers from promising too much.
constexpr double kLeastWork = 50;
/// Part of a server's ends that is expected where none of ours are under way.
constexpr double kLeastPart = 0.6;

}  // namespace

SteeredService::SteeredService(size_t regions,
                               size_t own,
                               Duration retry_window)
    : m_own(own),
      m_by_region(regions),
      m_shares(regions, own),
      m_retries(retry_window),
      m_times(regions) {}

void SteeredService::AddServer(const std::shared_ptr<ServerTrack>& server) {
  m_servers[server->Entry().m_instance] = server;
  ListOf(*server).Add(server.get());
}

void SteeredService::UpdateServer(ServerTrack& server,
                                  ServerEntry entry,
                                  TimePoint now) {
  ListOf(server).Update(&server, std::move(entry), now);
}

uint64_t SteeredService::ServersLookedAt() const {
  uint64_t servers = 0;
  for (const ServerRoster& list : m_by_region) {
    servers += list.LookedAt();
  }
  return servers;
}

void SteeredService::RemoveServer(const std::string& instance) {
  const auto it = m_servers.find(instance);
  if (it == m_servers.end()) {
    return;
  }
  ListOf(*it->second).Remove(it->second.get());
  m_servers.erase(it);
}

void SteeredService::CountEnd(const ServerTrack& server,
                              const AttemptReport& report) {
  const bool has_free_slot =
      report.m_load && report.m_load->m_running < report.m_load->m_slots;
  const bool is_rejected =
      report.m_end == AttemptEnd::kRejected && has_free_slot;
  m_rejections += ((is_rejected ? 1 : 0) - m_rejections) / kRejectionSamples;
  if (report.m_end == AttemptEnd::kAnswered) {
    m_latency.Add(report.m_latency);
    m_times.Add(server.Region(), report, server.Entry().m_slots);
  }
}

LineState SteeredService::Line(const ServerTrack* server, TimePoint now) const {
  LineState line;
  if (server == nullptr) {
    line.m_usual_latency = m_times.Mean(m_own);
    return line;
  }
  line.m_usual_latency = m_times.Mean(server->Region());
  line.m_ahead = server->Waiting();
  const double work_s =
      std::max(kLeastWork, ToMilliseconds(m_times.SlotTime(server->Region()))) /
      1000;
  // Slots that come free go to whoever sends first: to us by our part.
  const double occupancy = std::max(1.0, server->Occupancy(now));
  const double part = std::max(kLeastPart, server->InFlight() / occupancy);
  line.m_ends_per_second = server->Entry().m_slots * part / work_s;
  return line;
}

void SteeredService::UpdateShares(const ServerPicker& picker,
                                  const ServiceRules& rules,
                                  double most_shift_per_second,
                                  const MovedAwayBounds& bounds,
                                  TimePoint now) {
  std::vector<RegionLoad> loads;
  loads.reserve(m_by_region.size());
  for (ServerRoster& servers : m_by_region) {
    loads.push_back(servers.Measure(picker, rules, now));
  }
  m_shares.Update(loads, most_shift_per_second, bounds, now);
}

void SteeredService::CountRequest(TimePoint now) {
  m_last_request = now;
  m_retries.CountRequest(now);
  m_shares.Start();
}

bool SteeredService::IsInUse(TimePoint now) const {
  return m_last_request && now - *m_last_request < kUnusedAfter;
}

std::optional<double> SteeredService::ShareToTell() {
  const double share = m_shares.Share(m_own);
  if (std::abs(share - m_told_share) < kToldStep) {
    return std::nullopt;
  }
  m_told_share = share;
  return share;
}

}  // namespace sorrelplank
