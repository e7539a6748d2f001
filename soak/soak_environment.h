/// @file soak_environment.h Test environment: entry VMs as processes, with
/// simulated backend servers, a store and callers.

#ifndef SORRELPLANK_SOAK_SOAK_ENVIRONMENT_H_
#define SORRELPLANK_SOAK_SOAK_ENVIRONMENT_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "soak/crashing_requests.h"
#include "soak/edge_child.h"
#include "soak/fault_proxy.h"
#include "soak/ledger.h"
#include "soak/notice_checker.h"
#include "soak/soak_caller.h"
#include "soak/soak_server.h"
#include "standin/store_standin.h"

namespace sorrelplank::soak {

/// Options of the environment.
struct EnvironmentOptions {
  std::string m_program;
  /// Folder for the settings and logs of the processes.
  std::string m_folder;
  /// Whether guarantees with a time bound are checked; set it only on a machine
  /// without other work.
  bool m_checks_times = false;
};

/// Nine entry VMs in three failure domains, twelve backend servers of two
/// services, a store, and callers. Offers faults to a random schedule; each
/// fault ends by itself.
class SoakEnvironment {
 public:
  using Random = std::mt19937_64;

  SoakEnvironment(asio::io_context& io, EnvironmentOptions options);
  ~SoakEnvironment();

  /// Starts servers and entry VMs at once and callers 2 s later; does not wait
  /// until the VMs are ready.
  void Start();
  void StopCallers();
  bool AreCallersIdle() const;
  /// Ends faults of the store, of links and of paused VMs at once.
  void ClearFaults();
  /// Sends a request on the route that was added last to each VM that has not
  /// answered one yet with another status than 404.
  void ProbeNewestRoute();
  /// Whether all running VMs have done so.
  bool IsNewestRouteInForce() const;
  /// Records a breach for each VM that has had half of its memory or more.
  void CheckMemory();
  Ledger& Records() { return m_ledger; }
  const CrashingRequests& Crashing() const { return m_crashing; }
  const NoticeChecker& Notices() const { return m_notices; }

  // Planned operations.
  void StopVm(Random& random);
  void DrainServer(Random& random);
  void ChangeConfig(Random& random);
  void EvacuateDomain(Random& random);
  void ReloadSettings(Random& random);

  // Faults.
  void KillVm(Random& random);
  void KillAllVms(Random& random);
  void PauseVm(Random& random);
  void CrashServer(Random& random);
  void ReuseAddress(Random& random);
  void DelayServer(Random& random);
  void ResetServer(Random& random);
  void SilenceServer(Random& random);
  /// A server answers with bytes without end for some time.
  void SendEndlessly(Random& random);
  void CutVmFromStore(Random& random);
  /// One or two VMs of a failure domain end and return after their entries have
  /// expired. About then the store stops answering another VM of the domain,
  /// and the configuration changes.
  void JoinBesideCutVm(Random& random);
  /// Cuts a VM, or all VMs of a failure domain, off from all servers. Their
  /// open connections to servers are reset or live on; new ones are reset.
  void CutVmsFromServers(Random& random);
  void StoreRefuses(Random& random);
  void StoreIsSilent(Random& random);
  void StoreIsSlow(Random& random);
  void StoreLosesAnswers(Random& random);
  void StoreForgetsHistory(Random& random);
  /// The store is away for a moment and comes back from an older copy; the
  /// operator and the servers write their keys again.
  void RestoreStore(Random& random);
  void RestartServerUnderItsId(Random& random);
  void OverwriteServerEntry(Random& random);
  void RepeatCrashingRequest(Random& random);
  /// A server sends a rate limit for some time.
  void NameLimit(Random& random);
  /// A server announces in its responses that it is leaving, and ends later;
  /// its store entry does not say so.
  void SayLeaving(Random& random);
  /// A server rejects all requests for some time and asks for pauses.
  void AskForPause(Random& random);

 private:
  /// An entry VM, its process and its proxy to the store.
  struct Vm {
    std::string m_name;
    std::string m_domain;
    std::string m_ip;
    std::unique_ptr<EdgeChild> m_child;
    std::unique_ptr<FaultProxy> m_store_proxy;
    bool m_is_cut_from_servers = false;
    /// Until then it may pass requests on to other VMs.
    TimePoint m_may_pass_on_until{};
    /// The soak stopped or killed it; it is restarted after its exit.
    bool m_is_exit_expected = false;
    bool m_is_paused = false;
    TimePoint m_stop_time = TimePoint::max();
    /// End of the last known disturbance; guarantees with a time bound hold
    /// from the contact time after it.
    TimePoint m_unstable_until{};
    int m_settings_number = 0;
    int m_starts = 0;
    TimePoint m_paused_until{};
    /// After its exit it is not started before this time.
    TimePoint m_away_until{};
  };

  void WriteSettings(Vm& vm);
  void PutConfig();
  /// Writes what a restored store may lack.
  void WriteLostKeys();
  /// Writes the newest version to the store.
  void WriteConfig();
  void PutServerEntry(const SoakServer& server, const char* state);
  void RestartServer(SoakServer& server, const std::string& service);
  void StoreFault(const std::string& faults, Duration time);
  /// Kills the VM's process.
  void EndVm(Vm& vm);
  /// Time after which a change must be in force, with the tolerance.
  static Duration ConfigBound();
  void Poll();
  void PollVm(Vm& vm);
  void OnRun(const std::string& id, SoakServer& server);
  void OnConnectionLost(const std::string& id);
  /// The entry VM that received the request from its caller; nullptr if none
  /// did.
  Vm* ReceiverOf(const std::string& id);
  /// The entry VM that sent the request to the server: the receiver, or one
  /// that a receiver without servers in reach passed it on to. nullptr if
  /// unknown.
  Vm* SenderOf(const std::string& id, SoakServer& server);
  /// The same as a process; empty if unknown.
  VmProcess SenderProcess(const std::string& id, SoakServer& server);
  /// Sets a server's notice and clears it after this time.
  void SetTemporaryNotice(SoakServer& server,
                          const ServerNotice& notice,
                          Duration time);
  /// Crashes a server and restarts it after this time; its store entry is
  /// removed when its lease would expire.
  void TakeServerDown(SoakServer& server, Duration down);
  void OnCrash(const std::string& id, SoakServer& server);
  void SendCrashingRequest(const std::string& path, int attempt, uint64_t seed);
  /// Whether a VM that is cut off from the servers holds the connection.
  bool IsCutConnection(const asio::ip::tcp::endpoint& caller,
                       const asio::ip::tcp::endpoint& listener) const;
  /// Checks that callers of the VMs that were cut off from all servers were
  /// served about as well as those of the others. VMs with another disturbance
  /// do not count.
  void CheckServedWhileCut(TimePoint began, TimePoint ended);
  /// Records a breach for each VM without disturbance that does not have the
  /// routes of the version, unless a later version was written.
  void CheckVersionInForce(const std::string& domain, uint64_t version);
  /// Sends a request for the newest route to the VM.
  void RequestNewestRoute(const Vm& vm,
                          std::function<void(const std::string&, int)> done);
  /// Records how a request ended; returns whether it was answered.
  bool RecordResult(const std::string& id, const HttpResult& result);
  void OnAttemptResult(const std::string& id, const HttpResult& result);
  CallerTarget PickTarget();
  /// Address for callers' requests, "IP:PORT".
  static std::string CallerAddress(const Vm& vm);
  bool IsStable(const Vm& vm) const;
  Vm* FindVm(const std::string& name);
  Vm& RandomVm(Random& random);
  SoakServer& RandomServer(Random& random);
  void MarkUnstable(Vm& vm, Duration time);
  void MarkAllUnstable(Duration time);
  /// Calls the function after this time, unless the environment was destroyed.
  void ScheduleAfter(Duration time, std::function<void()> call);
  std::string Ip(int last) const;

  asio::io_context& m_io;
  EnvironmentOptions m_options;
  std::string m_network;
  Ledger m_ledger;
  CrashingRequests m_crashing{m_ledger};
  NoticeChecker m_notices{m_ledger, m_options.m_checks_times};
  HttpClient m_http;
  StoreStandin m_store;
  std::unique_ptr<HttpServer> m_store_server;
  std::vector<std::unique_ptr<SoakServer>> m_servers;
  std::vector<Vm> m_vms;
  std::vector<std::shared_ptr<SoakCaller>> m_callers;
  asio::steady_timer m_poll;
  std::minstd_rand m_random;
  uint64_t m_version = 0;
  /// VMs by which m_version is in force, as seen by ProbeNewestRoute().
  std::set<std::string> m_up_to_date;
  uint64_t m_route_probes = 0;
  bool m_is_restoring = false;
  bool m_is_joining = false;
  uint64_t m_next_instance = 1;
  int m_crashing_paths = 0;
  /// When the store entry of an instance was set to draining, or the evacuation
  /// of a failure domain was written.
  std::map<std::string, TimePoint> m_leaving;
  std::map<std::string, TimePoint> m_evacuated;
  /// When a server's store entry was overwritten with foreign content.
  std::map<std::string, TimePoint> m_overwritten;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_ENVIRONMENT_H_
