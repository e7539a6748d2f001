/// @file crashing_requests.h Checks on requests that crash every server that
/// runs them.

#ifndef SORRELPLANK_SOAK_CRASHING_REQUESTS_H_
#define SORRELPLANK_SOAK_CRASHING_REQUESTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/time_type.h"

namespace sorrelplank::soak {

class Ledger;

/// A process of an entry VM: the VM's name and the number of its starts.
struct VmProcess {
  std::string m_vm;
  int m_starts = 0;

  auto operator<=>(const VmProcess&) const = default;
};

/// Tracks crashing requests, identified by path, and checks that entry VMs stop
/// sending them.
///
/// Always: a process that knows of three crashes by a request must not send it
/// to a server again. With time bounds: once the contact time has passed since
/// the third crash, all stable VMs together send it at most three more times.
class CrashingRequests {
 public:
  explicit CrashingRequests(Ledger& ledger) : m_ledger(ledger) {}

  static bool IsCrashingPath(const std::string& path);

  /// An attempt is sent to a process.
  void OnAttemptStart(const std::string& id,
                      const std::string& path,
                      VmProcess process);
  /// A server starts to run the attempt.
  /// @param is_stable Whether the VM reaches all other processes; only then
  /// does the run count for the check with a time bound.
  void OnRunStart(const std::string& id, bool is_stable, TimePoint now);
  /// A server crashed while running the attempt.
  /// @param is_in_service Whether the VMs take the server to be serving, so
  /// that only the request can explain its end. Other crashes do not count
  /// against the request.
  void OnServerCrash(const std::string& id, bool is_in_service, TimePoint now);
  /// The process responded to the attempt without having been paused, so it
  /// knows of the attempt's crashes.
  void OnResponse(const std::string& id);

  size_t ServerCrashes() const { return m_server_crashes; }

 private:
  struct Attempt {
    std::string m_path;
    VmProcess m_process;
    size_t m_crashes = 0;
    /// Its process knew of three crashes before the attempt started.
    bool m_is_known_to_crash = false;
  };
  struct Request {
    size_t m_crashes = 0;
    TimePoint m_third_crash = TimePoint::max();
    size_t m_late_runs = 0;
    /// Number of crashes that each process knows of.
    std::map<VmProcess, size_t> m_known_crashes;
  };

  Ledger& m_ledger;
  std::map<std::string, Attempt> m_attempts;
  std::map<std::string, Request> m_requests;
  size_t m_server_crashes = 0;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_CRASHING_REQUESTS_H_
