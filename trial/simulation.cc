/// @file simulation.cc Generated load, run times and measurements.

#include "trial/simulation.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "cli/folder.h"
#include "config/config_parse_func.h"
#include "core/route_table.h"

namespace sorrelplank::trial {

namespace {

constexpr Duration kSampleInterval = milliseconds(50);
constexpr int kSamplesPerWindow = 20;
constexpr int kClientsPerPlace = 40;
constexpr double kTrafficBurstFactor = 3;

}  // namespace

Simulation::Simulation(const RunOptions& options)
    : m_random(options.m_seed),
      m_options(options),
      m_files(ReadFolder(options.m_examples + "/" + options.m_deployment)),
      m_started(m_queue.Now()) {
  m_config = Parse(1, "");
  m_rates.assign(m_config->m_services.size(), 0);
  for (size_t at = 0; at < m_config->m_backends.size(); ++at) {
    const BackendServer& backend = m_config->m_backends[at];
    m_backends.push_back({BackendId(static_cast<uint32_t>(at)),
                          backend.m_service, backend.m_place, backend.m_slots,
                          0, 0, at % 3 == 0 && options.m_faults.m_false_reports,
                          false});
    // RunTime has the expected run time as its mean.
    m_rates[backend.m_service.Get()] +=
        options.m_load * backend.m_slots /
        std::chrono::duration<double>(
            m_config->Get(backend.m_service).m_expected_run)
            .count();
  }
  m_clients.resize(m_config->m_places.size());
  std::uniform_int_distribution<uint32_t> any;
  const auto is_complete = [](const std::vector<uint32_t>& list) {
    return list.size() >= kClientsPerPlace;
  };
  while (!std::all_of(m_clients.begin(), m_clients.end(), is_complete)) {
    const uint32_t ip = (10U << 24U) | (any(m_random) & 0x00FFFFFFU);
    const auto home = m_config->m_client_blocks.Find(ip);
    if (home && !is_complete(m_clients[home->Get()])) {
      m_clients[home->Get()].push_back(ip);
    }
  }
}

void Simulation::StartArrivals(std::function<void(const Arrival&)> sink) {
  m_sink = std::move(sink);
  m_started = m_queue.Now();
  for (size_t at = 0; at < m_rates.size(); ++at) {
    ScheduleArrival(ServiceId(static_cast<uint16_t>(at)));
  }
}

void Simulation::ScheduleArrival(ServiceId service) {
  std::exponential_distribution<double> gap(m_rates[service.Get()]);
  const std::chrono::duration<double> wait(gap(m_random));
  m_queue.After(std::chrono::duration_cast<Duration>(wait), [this, service] {
    if (m_result.m_sent >= m_options.m_requests ||
        !m_result.m_violation.empty()) {
      m_arrivals_over = true;
      m_result.m_elapsed = m_queue.Now() - m_started;
      return;
    }
    ++m_result.m_sent;
    const PlaceId home = PickHome();
    const auto& clients = m_clients[home.Get()];
    std::uniform_int_distribution<size_t> pick(0, clients.size() - 1);
    m_sink({m_next_number++, service, home, clients[pick(m_random)]});
    ScheduleArrival(service);
  });
}

PlaceId Simulation::PickHome() {
  const auto count = static_cast<double>(m_clients.size());
  std::uniform_real_distribution<double> any(
      0, m_options.m_faults.m_traffic_burst ? count + kTrafficBurstFactor - 1
                                            : count);
  const double at = any(m_random);
  return PlaceId(at >= count ? uint16_t{0} : static_cast<uint16_t>(at));
}

void Simulation::StartSampling() {
  m_busy_sums.assign(m_config->m_places.size(), 0);
  m_queue.After(kSampleInterval, [this] { Sample(); });
}

void Simulation::Sample() {
  std::vector<double> slots(m_busy_sums.size(), 0);
  std::vector<double> busy(m_busy_sums.size(), 0);
  for (FakeBackend& backend : m_backends) {
    if (backend.m_down) {
      continue;
    }
    slots[backend.m_place.Get()] += backend.m_slots;
    busy[backend.m_place.Get()] += backend.m_in_flight;
    if (!m_options.m_faults.m_frozen_reports && m_samples == 0) {
      backend.m_reported_in_flight =
          backend.m_has_false_reports
              ? 0
              : backend.m_in_flight;  // At most a second old.
    }
  }
  for (size_t at = 0; at < slots.size(); ++at) {
    m_busy_sums[at] += slots[at] > 0 ? busy[at] / slots[at] : 0;
  }
  if (++m_samples == kSamplesPerWindow) {
    for (double& sum : m_busy_sums) {
      m_result.m_min_headroom =
          std::min(m_result.m_min_headroom, 1 - sum / kSamplesPerWindow);
      sum = 0;
    }
    m_samples = 0;
  }
  if (!m_arrivals_over) {
    m_queue.After(kSampleInterval, [this] { Sample(); });
  }
}

Duration Simulation::Latency(PlaceId a, PlaceId b) const {
  return a == b ? microseconds(100) : PlaceLatency(*m_config, a, b);
}

Duration Simulation::ClientLatency() const {
  return m_options.m_deployment == "trasa" ? milliseconds(3) : milliseconds(1);
}

Duration Simulation::RunTime(ServiceId service) {
  std::exponential_distribution<double> spread(1);
  const double factor = 0.5 + 0.5 * spread(m_random);
  return Duration(static_cast<int64_t>(
      factor *
      static_cast<double>(m_config->Get(service).m_expected_run.count())));
}

void Simulation::CountResponse(ServiceId service, TimePoint sent) {
  ++m_result.m_answered;
  m_result.m_latencies[m_config->Get(service).m_name].push_back(m_queue.Now() -
                                                                sent);
}

void Simulation::Fail(const std::string& violation) {
  if (m_result.m_violation.empty()) {
    m_result.m_violation = violation;
  }
}

std::shared_ptr<const Snapshot> Simulation::Parse(
    uint64_t version,
    const std::string& overlay) const {
  ConfigFiles files = m_files;
  if (!overlay.empty()) {
    files.push_back({"99-overlay.json", overlay});
  }
  auto parsed = ParseConfig(files, ConfigVersion(version));
  if (const auto* faults = std::get_if<sorrelplank::Faults>(&parsed)) {
    throw std::runtime_error(FormatFault(faults->front()));
  }
  return std::make_shared<const Snapshot>(
      std::move(std::get<Snapshot>(parsed)));
}

}  // namespace sorrelplank::trial
