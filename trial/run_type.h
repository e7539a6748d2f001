/// @file run_type.h Options and results of a randomised simulation run.

#ifndef SORRELPLANK_TRIAL_RUN_TYPE_H_
#define SORRELPLANK_TRIAL_RUN_TYPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/safeguards_type.h"
#include "core/time_type.h"

namespace sorrelplank::trial {

/// Faults that are injected into the normal load.
struct Faults {
  bool m_kill = false;            ///< Entry VMs crash and are replaced.
  bool m_pause = false;           ///< Entry VMs freeze and resume.
  bool m_partition = false;       ///< Pairs of places can't reach each other.
  bool m_drain = false;           ///< Backend servers drain and return.
  bool m_stop = false;            ///< Entry VMs stop gracefully, are replaced.
  bool m_traffic_burst = false;   ///< One place's callers send 3 times as much.
  bool m_place = false;           ///< One place is drained under load.
  bool m_region = false;          ///< One region fails.
  bool m_false_reports = false;   ///< A third of the servers report zero load.
  bool m_frozen_reports = false;  ///< Reported loads are never updated.
  bool m_late_requests = false;   ///< Some callers' requests are delayed.
  bool m_shift = false;           ///< One place's callers shift to another.
};

/// How the backend server of a request is selected.
enum class SelectionPolicy : uint8_t {
  kProduct,
  kRandom,
  kRoundRobin,
  kLeastReported,
  kTwoChoices,
  kOracle,
};

/// Options of one run.
struct RunOptions {
  std::string m_deployment = "trasa";
  std::string m_examples = "examples";
  uint64_t m_seed = 1;
  uint64_t m_requests = 100000;
  double m_load = 0.85;
  SelectionPolicy m_policy = SelectionPolicy::kProduct;
  Faults m_faults;
  Safeguards m_safeguards;
  /// Print the last events before a violation.
  bool m_trace = false;
};

/// Measurements of one run.
struct RunResult {
  uint64_t m_sent = 0;
  uint64_t m_answered = 0;
  uint64_t m_not_run = 0;
  uint64_t m_may_have_run = 0;
  uint64_t m_runs = 0;
  uint64_t m_wasted_runs = 0;
  uint64_t m_sheds = 0;
  uint64_t m_hand_ons = 0;
  Duration m_elapsed{};
  /// Latencies of answered requests, by service name.
  std::map<std::string, std::vector<Duration>> m_latencies;
  /// Lowest share of free slots of any place, averaged over one second.
  double m_min_headroom = 1;
  /// Responses during the run / the capacity of all slots.
  double m_goodput = 0;
  Duration m_max_drain{};
  std::map<std::string, uint64_t> m_reasons;
  /// The first guarantee that was violated; empty if none was.
  std::string m_violation;
  std::vector<std::string> m_trace;
};

/// Runs one simulation; never throws.
RunResult RunProduct(const RunOptions& options);
RunResult RunBaseline(const RunOptions& options);

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_RUN_TYPE_H_
