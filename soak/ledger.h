/// @file ledger.h What callers and backend servers saw, and what must hold of
/// it.

#ifndef SORRELPLANK_SOAK_LEDGER_H_
#define SORRELPLANK_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank::soak {

/// How a caller's wait ended.
enum class CallerEnd : uint8_t {
  kPending,     ///< Nothing has come back yet.
  kSuccess,     ///< A whole 2xx answer.
  kNotRun,      ///< A status that promises "not run": 408, 421, 429 or 503.
  kFailure,     ///< Any other whole answer.
  kCut,         ///< The connection ended without a whole answer.
  kNotAccepted  ///< No connection was made.
};

/// One request of a caller, with what is known of it.
struct CallerRequest {
  std::string m_vm;
  std::string m_path;
  std::string m_body;
  bool m_idempotent = true;
  /// Whose key it showed; empty: a key that nobody holds.
  std::string m_organisation;
  CallerEnd m_end = CallerEnd::kPending;
  int m_runs = 0;
  /// Places of its sending and its end among all such events of the run.
  uint64_t m_sent_order = 0;
  uint64_t m_end_order = 0;
  TimePoint m_ended{};
};

/// A request as a backend server got it.
struct ServerRun {
  std::string m_server;
  std::string m_path;
  std::string m_body;
  /// What the server was told of who asks.
  std::string m_organisation;
  /// Whether the caller's key came along.
  bool m_has_key = false;
};

/// An answer as a caller received it.
struct CallerAnswer {
  int m_status = 0;
  bool m_has_stamp = false;
  std::string m_request_id;
  std::string m_body;
};

/// Counts of how requests ended.
struct LedgerCounts {
  size_t m_sent = 0;
  size_t m_success = 0;
  size_t m_not_run = 0;
  size_t m_failure = 0;
  size_t m_cut = 0;
  size_t m_not_accepted = 0;
  size_t m_runs = 0;
};

/// Checks the promises that need no clock while the run goes on. Each breach is
/// kept as a line for people.
class Ledger {
 public:
  void Sent(const std::string& id, CallerRequest request);
  void Answered(const std::string& id, const CallerAnswer& answer);
  void Ended(const std::string& id, CallerEnd end);

  /// A backend server begins to work on a request.
  void Runs(const std::string& id, const ServerRun& run);

  /// The body of a server's answer to a request.
  static std::string AnswerBody(const std::string& id, const std::string& path);

  /// Notes a breach that somebody else found.
  void Breach(const std::string& promise,
              const std::string& id,
              const std::string& detail);

  const std::vector<std::string>& Breaches() const { return m_breaches; }
  const LedgerCounts& Counts() const { return m_counts; }
  const CallerRequest* Find(const std::string& id) const;

 private:
  void CheckPromise(const std::string& id, const CallerRequest& request);

  std::map<std::string, CallerRequest> m_requests;
  std::vector<std::string> m_breaches;
  LedgerCounts m_counts;
  uint64_t m_next_order = 1;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_LEDGER_H_
