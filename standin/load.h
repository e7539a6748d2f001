/// @file load.h Load generator that verifies every response.

#ifndef SORRELPLANK_STANDIN_LOAD_H_
#define SORRELPLANK_STANDIN_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/snapshot_type.h"
#include "core/time_type.h"
#include "net/http_message_type.h"
#include "standin/fleet.h"

namespace sorrelplank {

/// Results of the requests to one service, as callers saw them.
struct ServiceTally {
  uint64_t m_sent = 0;
  uint64_t m_answered = 0;
  uint64_t m_not_run = 0;
  uint64_t m_may_have_run = 0;
  /// Successful responses that were not the complete response to this request.
  uint64_t m_wrong = 0;
  /// Request keys that ran more than once.
  uint64_t m_doubled = 0;
  /// Requests with a false verdict: "ran" without a run, or "not run" with
  /// one.
  uint64_t m_lost = 0;
  std::vector<Duration> m_latencies;
  std::map<std::string, uint64_t> m_reasons;
};

/// Request rate of one service.
struct ServiceLoad {
  std::string m_service;
  bool m_idempotent = true;
  double m_per_second = 0;
};

/// Loads every service with the same fraction of its capacity.
std::vector<ServiceLoad> MakeLoad(const Snapshot& config, double fraction);

/// Simulates callers of every place: looks up the entry VMs, caches the result
/// for its time to live, sends the request, and where no response comes (such
/// as on a refused connection) retries at the next entry VM with the same key.
class Load {
 public:
  Load(const Fleet& fleet, std::vector<ServiceLoad> services, uint64_t seed);
  ~Load();

  /// Sends requests for this long; calls the hook once per second with the
  /// number of seconds since the start.
  void RunFor(Duration duration, const std::function<void(int)>& hook);

  /// Compares the verdicts with the runs that the backend stand-ins counted;
  /// updates m_doubled and m_lost.
  void CheckRuns(const std::vector<nlohmann::json>& stats);

  const std::map<std::string, ServiceTally>& Tallies() const;

  /// Sums of the counters over all services.
  ServiceTally Total() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Prints a table with one row per service.
void PrintTallies(const std::map<std::string, ServiceTally>& tallies);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STANDIN_LOAD_H_
