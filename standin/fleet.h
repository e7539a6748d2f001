/// @file fleet.h Starts and stops the processes of a deployment on loopback.

#ifndef SORRELPLANK_STANDIN_FLEET_H_
#define SORRELPLANK_STANDIN_FLEET_H_

#include <sys/types.h>

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/snapshot_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// An entry VM of the deployment and its loopback address.
struct FleetVm {
  std::string m_name;
  std::string m_place;
  std::string m_ip;
};

/// The processes of one deployment: the platform stand-in, backend stand-ins
/// and entry VMs. The destructor kills every process it started, by process
/// id, and removes the temporary files.
class Fleet {
 public:
  /// @param binaries Folder with the programs.
  /// @param folder Configuration folder; it is copied and not changed. Throws
  /// std::runtime_error where it is invalid.
  Fleet(std::string binaries, const std::string& folder);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Sets the run time of a service's backend stand-ins in milliseconds; call
  /// it before StartBackends. The default is the service's expected run time.
  void SetRunTime(const std::string& service, double run_ms);

  void StartPlatform();
  void StartBackends();
  void StartVm(const std::string& name);
  /// Starts all processes, in the order above, and applies the configuration.
  void StartAll();

  /// Runs a sorrelplank command to its end; returns the exit code (-1 after a
  /// signal) and the output.
  std::pair<int, std::string> Run(const std::vector<std::string>& arguments);
  /// Applies a configuration folder and waits until it is in force; returns
  /// the exit code.
  int Apply(const std::string& folder);

  void Signal(const std::string& process, int signal);
  /// Waits for a process to end; returns its exit code, 128 if a signal ended
  /// it, or -1 after the time limit.
  int WaitExit(const std::string& process, Duration limit);
  bool IsRunning(const std::string& process) const;

  /// Waits until every given entry VM is ready and may dispatch to all backend
  /// servers that it holds, one at least.
  bool WaitReady(const std::vector<std::string>& vms, Duration limit);

  const std::vector<FleetVm>& Vms() const { return m_vms; }
  const Snapshot& Config() const { return m_config; }
  /// Copy of the configuration folder, which callers may change.
  const std::string& Folder() const { return m_folder; }
  const std::string& WorkFolder() const { return m_work_folder; }

  /// Statistics of every backend stand-in that answers.
  std::vector<nlohmann::json> BackendStats();
  /// Sets the faults of the platform stand-in, a JSON object.
  void SetPlatformFaults(const std::string& json);
  std::string PlatformStats();
  /// Cuts an entry VM off from these addresses instead of the previous ones.
  void CutOff(const std::string& vm, const std::vector<std::string>& ips);

  /// Sends one HTTP request; returns the response body, empty without a
  /// response.
  std::string HttpCall(const std::string& method,
                       const std::string& url,
                       const std::string& body);
  pid_t PidOf(const std::string& process) const;

  std::string OperatorAddress(const std::string& vm) const;
  static std::string PlatformAddress();

 private:
  void Spawn(const std::string& process,
             const std::vector<std::string>& arguments);
  void WriteSettings(const FleetVm& vm);
  const FleetVm& VmByName(const std::string& name) const;

  std::string m_binaries;
  std::string m_folder;
  std::string m_work_folder;
  Snapshot m_config;
  std::vector<FleetVm> m_vms;
  std::map<std::string, double> m_run_ms;
  std::map<std::string, pid_t> m_processes;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STANDIN_FLEET_H_
