/// @file crashing_requests.cc Counting ends by request and process.

#include "soak/crashing_requests.h"

#include <utility>

#include "soak/ledger.h"

namespace sorrelplank::soak {

namespace {

constexpr const char* kPathPrefix = "/read/crash";
/// Ends after which a request may no longer be sent.
constexpr size_t kMostEnds = 3;
constexpr size_t kMostLateRuns = 3;
constexpr Duration kContact = seconds(4);

}  // namespace

bool CrashingRequests::Ends(const std::string& path) {
  return path.starts_with(kPathPrefix);
}

void CrashingRequests::Asked(const std::string& id,
                             const std::string& path,
                             VmLife life) {
  const bool is_known = m_requests[path].m_known[life] >= kMostEnds;
  m_attempts[id] = {path, std::move(life), 0, is_known};
}

void CrashingRequests::Runs(const std::string& id,
                            bool is_calm,
                            TimePoint now) {
  const Attempt& attempt = m_attempts.at(id);
  Request& request = m_requests.at(attempt.m_path);
  if (attempt.m_is_known_to_end) {
    m_ledger.Breach("held back", id,
                    "runs, though " + attempt.m_life.m_vm +
                        " saw three servers end under it");
  }
  const bool is_late = request.m_third_end != TimePoint::max() &&
                       now > request.m_third_end + kContact;
  if (is_late && is_calm && ++request.m_late_runs > kMostLateRuns) {
    m_ledger.Breach("held back", id,
                    "runs too often after three servers ended under it");
  }
}

void CrashingRequests::Ended(const std::string& id,
                             bool is_told,
                             TimePoint now) {
  Attempt& attempt = m_attempts.at(id);
  Request& request = m_requests.at(attempt.m_path);
  ++m_servers_ended;
  if (!is_told) {
    return;
  }
  ++attempt.m_ends;
  if (++request.m_ends == kMostEnds) {
    request.m_third_end = now;
  }
}

void CrashingRequests::Answered(const std::string& id) {
  const Attempt& attempt = m_attempts.at(id);
  m_requests.at(attempt.m_path).m_known[attempt.m_life] += attempt.m_ends;
}

}  // namespace sorrelplank::soak
