/// @file ledger.h Record of what callers and backend servers observed, with
/// checks of the guarantees to callers.

#ifndef SORRELPLANK_SOAK_LEDGER_H_
#define SORRELPLANK_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank::soak {

/// Outcome of a request for its caller.
enum class CallerOutcome : uint8_t {
  kPending,  ///< No response yet.
  kSuccess,  ///< A complete 2xx response.
  kNotRun,   ///< A status that guarantees "not run": 408, 421, 429 or 503.
  kFailure,  ///< Any other complete response.
  kConnectionLost,  ///< The connection ended without a complete response.
  kNotAccepted      ///< The connection could not be established.
};

/// A request of a caller, with its runs and outcome so far.
struct CallerRequest {
  std::string m_vm;
  std::string m_path;
  std::string m_body;
  bool m_idempotent = true;
  /// Organisation of the API key sent; empty: the key is unknown.
  std::string m_organisation;
  CallerOutcome m_end = CallerOutcome::kPending;
  int m_runs = 0;
  /// Sequence numbers of its sending and its end among all sends and ends.
  uint64_t m_sent_sequence = 0;
  uint64_t m_end_sequence = 0;
  TimePoint m_sent_time{};
  TimePoint m_end_time{};
};

/// A request as a backend server received it.
struct ServerRun {
  std::string m_server;
  std::string m_path;
  std::string m_body;
  /// Organisation that the request carried to the server.
  std::string m_organisation;
  /// Whether the caller's API key was forwarded.
  bool m_has_key = false;
};

/// A response as a caller received it.
struct CallerResponse {
  int m_status = 0;
  bool m_has_stamp = false;
  std::string m_request_id;
  std::string m_body;
};

/// Number of requests by outcome, and of runs at servers.
struct LedgerCounts {
  size_t m_sent = 0;
  size_t m_success = 0;
  size_t m_not_run = 0;
  size_t m_failure = 0;
  size_t m_cut = 0;
  size_t m_not_accepted = 0;
  size_t m_runs = 0;
};

/// Requests sent within a span of time, and those of them that succeeded.
struct ServedCounts {
  size_t m_sent = 0;
  size_t m_success = 0;
};

/// Checks, on each event, the guarantees without a time bound. Each breach is
/// kept as a line of text for the report.
class Ledger {
 public:
  void RecordSent(const std::string& id, CallerRequest request);
  void RecordResponse(const std::string& id, const CallerResponse& response);
  void RecordEnd(const std::string& id, CallerOutcome end);

  /// Records that a backend server starts to run a request.
  void RecordRun(const std::string& id, const ServerRun& run);

  /// The response body that a server sends for a request.
  static std::string ResponseBody(const std::string& id,
                                  const std::string& path);

  /// Adds a breach; also for checks outside this class.
  void Breach(const std::string& guarantee,
              const std::string& id,
              const std::string& detail);

  const std::vector<std::string>& Breaches() const { return m_breaches; }
  const LedgerCounts& Counts() const { return m_counts; }
  const CallerRequest* Find(const std::string& id) const;
  /// Counts the requests sent to these VMs from `from` until `until`.
  ServedCounts CountServed(const std::set<std::string>& vms,
                           TimePoint from,
                           TimePoint until) const;

 private:
  void CheckGuarantee(const std::string& id, const CallerRequest& request);

  std::map<std::string, CallerRequest> m_requests;
  std::vector<std::string> m_breaches;
  LedgerCounts m_counts;
  uint64_t m_next_sequence = 1;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_LEDGER_H_
