/// @file baseline_run.cc Baselines that the product is compared with: entry VMs
/// that connect to every backend server of their region, and an oracle.

#include <algorithm>
#include <deque>
#include <map>

#include "trial/simulation.h"

namespace sorrelplank::trial {

namespace {

constexpr int kAttemptLimit = 3;

/// A request that a baseline handles.
struct Job {
  Arrival m_arrival;
  TimePoint m_sent;
  int m_attempts = 0;
};

/// One run of a baseline.
class BaselineRun {
 public:
  explicit BaselineRun(const RunOptions& options) : m_simulation(options) {}

  RunResult Run() {
    m_simulation.StartSampling();
    ScheduleFaults();
    m_simulation.StartArrivals([this](const Arrival& arrival) {
      const Job job{arrival, m_simulation.m_queue.Now(), 0};
      m_simulation.m_queue.After(m_simulation.ClientLatency(),
                                 [this, job] { Choose(job); });
    });
    while (m_simulation.m_queue.RunOne()) {
    }
    return std::move(m_simulation.m_result);
  }

 private:
  void ScheduleFaults() {
    const Faults& faults = m_simulation.m_options.m_faults;
    for (FakeBackend& backend : m_simulation.m_backends) {
      const Place& place = m_simulation.m_config->Get(backend.m_place);
      const bool fails = (faults.m_region && place.m_region.Get() == 0) ||
                         (faults.m_place && backend.m_place.Get() == 1);
      if (fails) {
        m_simulation.m_queue.After(seconds(10),
                                   [&backend] { backend.m_down = true; });
      }
    }
  }

  void Choose(Job job) {
    if (m_simulation.m_options.m_policy == SelectionPolicy::kOracle) {
      ChooseAsOracle(job);
      return;
    }
    FakeBackend* backend = Pick(job);
    if (backend == nullptr || ++job.m_attempts > kAttemptLimit) {
      ++m_simulation.m_result.m_not_run;
      return;
    }
    const Duration latency =
        m_simulation.Latency(job.m_arrival.m_home, backend->m_place);
    m_simulation.m_queue.After(latency, [this, job, backend, latency] {
      if (backend->m_in_flight >= backend->m_slots || backend->m_down) {
        ++m_simulation.m_result.m_sheds;
        m_simulation.m_queue.After(latency, [this, job] { Choose(job); });
        return;
      }
      Start(job, *backend);
    });
  }

  /// The service's backend servers in the home place's region; those of all
  /// regions if it has none.
  std::vector<FakeBackend*> Candidates(const Job& job) {
    const Snapshot& config = *m_simulation.m_config;
    const RegionId home = config.Get(job.m_arrival.m_home).m_region;
    std::vector<FakeBackend*> near;
    std::vector<FakeBackend*> all;
    for (FakeBackend& backend : m_simulation.m_backends) {
      if (backend.m_service != job.m_arrival.m_service || backend.m_down) {
        continue;
      }
      all.push_back(&backend);
      if (config.Get(backend.m_place).m_region == home) {
        near.push_back(&backend);
      }
    }
    return near.empty() ? all : near;
  }

  FakeBackend* Pick(const Job& job) {
    const std::vector<FakeBackend*> candidates = Candidates(job);
    if (candidates.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
    const auto has_lower_reported_load = [](const FakeBackend* a,
                                            const FakeBackend* b) {
      return a->m_reported_in_flight < b->m_reported_in_flight;
    };
    switch (m_simulation.m_options.m_policy) {
      case SelectionPolicy::kRoundRobin:
        return candidates[m_round_robin_next[job.m_arrival.m_home]++ %
                          candidates.size()];
      case SelectionPolicy::kLeastReported:
        return *std::min_element(candidates.begin(), candidates.end(),
                                 has_lower_reported_load);
      case SelectionPolicy::kTwoChoices:
        return std::min(candidates[any(m_simulation.m_random)],
                        candidates[any(m_simulation.m_random)],
                        has_lower_reported_load);
      default:
        return candidates[any(m_simulation.m_random)];
    }
  }

  void Start(const Job& job, FakeBackend& backend) {
    ++backend.m_in_flight;
    ++m_simulation.m_result.m_runs;
    const Duration response_latency =
        m_simulation.Latency(job.m_arrival.m_home, backend.m_place) +
        m_simulation.ClientLatency();
    m_simulation.m_queue.After(m_simulation.RunTime(job.m_arrival.m_service),
                               [this, job, &backend, response_latency] {
                                 --backend.m_in_flight;
                                 m_simulation.m_queue.After(
                                     response_latency,
                                     [this, job] { End(job); });
                                 DispatchQueued(backend);
                               });
  }

  void End(const Job& job) {
    const Service& service =
        m_simulation.m_config->Get(job.m_arrival.m_service);
    if (m_simulation.m_queue.Now() - job.m_sent <=
        service.m_deadline + 2 * m_simulation.ClientLatency()) {
      m_simulation.CountResponse(job.m_arrival.m_service, job.m_sent);
    } else {
      ++m_simulation.m_result.m_may_have_run;
      ++m_simulation.m_result.m_wasted_runs;
    }
  }

  /// The oracle knows the state of every slot without delay. It uses the
  /// nearest free slot, unless the round trip to it takes longer than the
  /// expected wait in the region's queue; then it queues the request.
  void ChooseAsOracle(const Job& job) {
    const Snapshot& config = *m_simulation.m_config;
    const RegionId home = config.Get(job.m_arrival.m_home).m_region;
    FakeBackend* best = nullptr;
    double region_slots = 0;
    for (FakeBackend& backend : m_simulation.m_backends) {
      if (backend.m_service != job.m_arrival.m_service || backend.m_down) {
        continue;
      }
      if (config.Get(backend.m_place).m_region == home) {
        region_slots += backend.m_slots;
      }
      if (backend.m_in_flight < backend.m_slots &&
          (best == nullptr || IsNearer(job, backend, *best))) {
        best = &backend;
      }
    }
    auto& queue = m_queues[{job.m_arrival.m_service, home}];
    const Duration run = config.Get(job.m_arrival.m_service).m_expected_run;
    const double wait = region_slots == 0
                            ? 1e9
                            : ToMilliseconds(run) *
                                  (static_cast<double>(queue.size()) + 1) /
                                  region_slots;
    const bool takes =
        best != nullptr &&
        ToMilliseconds(2 * m_simulation.Latency(job.m_arrival.m_home,
                                                best->m_place)) <= wait + 1.1;
    if (takes) {
      Start(job, *best);
      return;
    }
    if (region_slots == 0 ||
        wait > ToMilliseconds(config.Get(job.m_arrival.m_service).m_deadline) -
                   ToMilliseconds(run)) {
      ++m_simulation.m_result.m_not_run;
      return;
    }
    queue.push_back(job);
  }

  bool IsNearer(const Job& job,
                const FakeBackend& a,
                const FakeBackend& b) const {
    const Duration to_a = m_simulation.Latency(job.m_arrival.m_home, a.m_place);
    const Duration to_b = m_simulation.Latency(job.m_arrival.m_home, b.m_place);
    if (to_a != to_b) {
      return to_a < to_b;
    }
    return a.m_in_flight * b.m_slots < b.m_in_flight * a.m_slots;
  }

  void DispatchQueued(FakeBackend& backend) {
    const RegionId region =
        m_simulation.m_config->Get(backend.m_place).m_region;
    auto& queue = m_queues[{backend.m_service, region}];
    if (queue.empty() || backend.m_down) {
      return;
    }
    const Job job = queue.front();
    queue.pop_front();
    Start(job, backend);
  }

  Simulation m_simulation;
  std::map<PlaceId, size_t> m_round_robin_next;
  std::map<std::pair<ServiceId, RegionId>, std::deque<Job>> m_queues;
};

}  // namespace

RunResult RunBaseline(const RunOptions& options) {
  return BaselineRun(options).Run();
}

}  // namespace sorrelplank::trial
