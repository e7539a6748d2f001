/// @file crashing_requests.cc Counts crashes by request and process.

#include "soak/crashing_requests.h"

#include <utility>

#include "soak/ledger.h"

namespace sorrelplank::soak {

namespace {

constexpr const char* kPathPrefix = "/read/crash";
/// Crashes after which a request must no longer be sent.
constexpr size_t kMaxCrashes = 3;
constexpr size_t kMaxLateRuns = 3;
constexpr Duration kContactTime = seconds(4);

}  // namespace

bool CrashingRequests::IsCrashingPath(const std::string& path) {
  return path.starts_with(kPathPrefix);
}

void CrashingRequests::OnAttemptStart(const std::string& id,
                                      const std::string& path,
                                      VmProcess process) {
  const bool is_known =
      m_requests[path].m_known_crashes[process] >= kMaxCrashes;
  m_attempts[id] = {path, std::move(process), 0, is_known};
}

void CrashingRequests::OnRunStart(const std::string& id,
                                  bool is_stable,
                                  TimePoint now) {
  const Attempt& attempt = m_attempts.at(id);
  Request& request = m_requests.at(attempt.m_path);
  if (attempt.m_is_known_to_crash) {
    m_ledger.Breach("held back", id,
                    "runs, though " + attempt.m_process.m_vm +
                        " knew of three server crashes by it");
  }
  const bool is_late = request.m_third_crash != TimePoint::max() &&
                       now > request.m_third_crash + kContactTime;
  if (is_late && is_stable && ++request.m_late_runs > kMaxLateRuns) {
    m_ledger.Breach("held back", id,
                    "runs too often after it crashed three servers");
  }
}

void CrashingRequests::OnServerCrash(const std::string& id,
                                     bool is_in_service,
                                     TimePoint now) {
  Attempt& attempt = m_attempts.at(id);
  Request& request = m_requests.at(attempt.m_path);
  ++m_server_crashes;
  if (!is_in_service) {
    return;
  }
  ++attempt.m_crashes;
  if (++request.m_crashes == kMaxCrashes) {
    request.m_third_crash = now;
  }
}

void CrashingRequests::OnResponse(const std::string& id) {
  const Attempt& attempt = m_attempts.at(id);
  m_requests.at(attempt.m_path).m_known_crashes[attempt.m_process] +=
      attempt.m_crashes;
}

}  // namespace sorrelplank::soak
