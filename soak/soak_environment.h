/// @file soak_world.h Entry VMs as processes, with everything around them.

#ifndef SORRELPLANK_SOAK_SOAK_WORLD_H_
#define SORRELPLANK_SOAK_SOAK_WORLD_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "soak/crashing_requests.h"
#include "soak/edge_child.h"
#include "soak/fault_proxy.h"
#include "soak/ledger.h"
#include "soak/notice_watch.h"
#include "soak/soak_caller.h"
#include "soak/soak_server.h"
#include "standin/store_standin.h"

namespace sorrelplank::soak {

/// How a world is set up.
struct WorldOptions {
  std::string m_program;
  /// Settings and logs of the processes are written here.
  std::string m_folder;
  /// Whether promises with a time bound are checked: not on a machine that is
  /// busy with other work.
  bool m_checks_times = false;
};

/// Six entry VMs in three failure domains, twelve backend servers of two
/// services, a store, and callers. Its faults are what a schedule draws from;
/// each one ends by itself.
class SoakWorld {
 public:
  using Random = std::mt19937_64;

  SoakWorld(asio::io_context& io, WorldOptions options);
  ~SoakWorld();

  /// Starts everything and callers; ready once each VM answers.
  void Start();
  void StopCallers();
  bool AreCallersIdle() const;
  /// Ends all faults at once.
  void Heal();
  Ledger& Records() { return m_ledger; }
  const CrashingRequests& Crashing() const { return m_crashing; }
  const NoticeWatch& Notices() const { return m_notices; }

  // Planned work.
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
  void CutVmFromStore(Random& random);
  void StoreRefuses(Random& random);
  void StoreIsSilent(Random& random);
  void StoreIsSlow(Random& random);
  void StoreLosesAnswers(Random& random);
  void StoreForgetsHistory(Random& random);
  void RestartServerUnderItsId(Random& random);
  void OverwriteServerEntry(Random& random);
  void RepeatCrashingRequest(Random& random);
  /// A server names a limit for some time.
  void NameLimit(Random& random);
  /// A server says in its answers that it leaves, and ends later; the store is
  /// not told.
  void SayLeaving(Random& random);
  /// A server turns requests away for some time, and asks for pauses.
  void AskForPause(Random& random);

 private:
  /// One entry VM.
  struct Vm {
    std::string m_name;
    std::string m_domain;
    std::string m_ip;
    std::unique_ptr<EdgeChild> m_child;
    std::unique_ptr<FaultProxy> m_store;
    /// Its end is our doing; restarted once it has ended.
    bool m_end_is_expected = false;
    bool m_is_paused = false;
    TimePoint m_stop_began = TimePoint::max();
    /// Promises with a time bound hold for it from then on.
    TimePoint m_troubled_until{};
    int m_settings_number = 0;
    int m_starts = 0;
    TimePoint m_paused_until{};
  };

  void WriteSettings(Vm& vm);
  void PutConfig();
  void PutServerEntry(const SoakServer& server, const char* state);
  void RestartServer(SoakServer& server, const std::string& service);
  void StoreFault(const std::string& faults, Duration time);
  void Poll();
  void PollVm(Vm& vm);
  void OnRun(const std::string& id, const SoakServer& server);
  void OnCut(const std::string& id);
  /// The process that a caller sent the request to.
  VmLife LifeOf(const std::string& id);
  /// A server asks for something for some time.
  void AskFor(SoakServer& server, const ServerNotice& notice, Duration time);
  /// Ends a server; its entry lapses, and it is back after the time given.
  void EndServer(SoakServer& server, Duration down);
  void OnCrash(const std::string& id, SoakServer& server);
  void AskCrashing(const std::string& path, int attempt, uint64_t seed);
  void EndAttempt(const std::string& id, const HttpResult& result);
  CallerTarget PickTarget();
  /// Where a VM takes callers' requests, "IP:PORT".
  static std::string CallerAddress(const Vm& vm);
  bool IsCalm(const Vm& vm) const;
  Vm* FindVm(const std::string& name);
  Vm& AnyVm(Random& random);
  SoakServer& AnyServer(Random& random);
  void Trouble(Vm& vm, Duration time);
  void TroubleAll(Duration time);
  /// Does something later; dropped when the world is gone.
  void After(Duration time, std::function<void()> call);
  std::string Ip(int last) const;

  asio::io_context& m_io;
  WorldOptions m_options;
  std::string m_network;
  Ledger m_ledger;
  CrashingRequests m_crashing{m_ledger};
  NoticeWatch m_notices{m_ledger, m_options.m_checks_times};
  HttpClient m_http;
  StoreStandin m_store;
  std::unique_ptr<HttpServer> m_store_server;
  std::vector<std::unique_ptr<SoakServer>> m_servers;
  std::vector<Vm> m_vms;
  std::vector<std::shared_ptr<SoakCaller>> m_callers;
  asio::steady_timer m_poll;
  std::minstd_rand m_random;
  uint64_t m_version = 0;
  uint64_t m_next_instance = 1;
  int m_crashing_drawn = 0;
  /// When the store took an instance's leaving, or a domain's evacuation.
  std::map<std::string, TimePoint> m_leaving;
  std::map<std::string, TimePoint> m_evacuated;
  /// When something else wrote over a server's entry.
  std::map<std::string, TimePoint> m_overwritten;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_WORLD_H_
