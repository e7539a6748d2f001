/// @file crash_simulation.h Simulation in virtual time of entry VMs, backend
/// servers and callers, where some requests crash the server that runs them.

#ifndef SORRELPLANK_TESTS_CRASH_SIMULATION_H_
#define SORRELPLANK_TESTS_CRASH_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "steer/steering.h"
#include "trial/event_queue.h"

namespace sorrelplank {

/// Outcome of one request of a caller.
enum class CrashSimulationOutcome : uint8_t {
  kAnswered,
  kRefused,  ///< Not run.
  kFailed,   ///< It may have run.
};

/// Counts of normal requests.
struct CrashSimulationCounts {
  size_t m_sent = 0;
  size_t m_answered = 0;
  size_t m_refused = 0;
  size_t m_failed = 0;
};

/// Each VM runs the real Steering. Changes of servers and crash records reach
/// every VM through the store after a propagation delay.
class CrashSimulation {
 public:
  CrashSimulation(size_t vms,
                  size_t servers,
                  uint32_t seed,
                  Duration propagation_delay = milliseconds(300));
  ~CrashSimulation();

  void RunFor(Duration time);

  /// Sends a request of a caller to the given VM. Equal digests are the same
  /// request.
  void SendRequest(size_t vm, const RequestDigest& digest, uint64_t object);
  /// The same from random VMs to servers all over the service, every `interval`
  /// for the given time. Returns how many of the requests were answered.
  size_t SendRepeatedly(const RequestDigest& digest,
                        Duration interval,
                        Duration time);
  /// From now on a request with this digest crashes each server that runs it.
  void MakeCrashing(const RequestDigest& digest);
  /// Starts callers that send this many other requests per second, and retry
  /// each one once if it is not answered.
  void StartNormalRequests(int per_second);

  /// Crashes a server, whatever it runs; it restarts some seconds later.
  void Crash(size_t server);
  /// Crashes all servers of a failure domain at the same moment.
  void CrashDomain(const std::string& domain);
  /// Closes all connections of a server without responses; it keeps running.
  void ResetConnections(size_t server);

  /// From now on the VM exchanges no crash records with other VMs.
  void CutOffFromCrashRecords(size_t vm);
  /// Restarts a VM; it knows the contents of the store at once.
  void Restart(size_t vm);

  TimePoint Now() const { return m_queue.Now(); }
  size_t Vms() const { return m_vms.size(); }
  size_t RandomVm();
  /// Number of server runs that the request crashed.
  size_t CrashedRuns(const RequestDigest& digest) const;
  /// Sends of the request that reached a server later than the given time after
  /// its third crash.
  size_t ArrivalsAfterThirdCrash(const RequestDigest& digest,
                                 Duration later_than) const;
  const CrashSimulationCounts& Normal() const { return m_normal; }
  /// Events in which a VM suspected, or held back, a request of any kind.
  size_t Suspected() const { return m_suspected; }
  size_t HeldBack() const { return m_held_back; }

 private:
  struct Vm;
  struct Server;
  struct Work;
  struct History {
    std::vector<TimePoint> m_crash_times;
    std::vector<TimePoint> m_arrival_times;
  };

  void Take(size_t vm, const SteerAction& action);
  void Send(size_t vm, const SendToServer& action);
  void Check(size_t vm, const CheckServerReachable& action);
  void Probe(size_t vm, const ProbeServerReach& action);
  void PublishCrash(size_t vm, const CrashReport& report);
  void DropCrash(size_t vm, const CrashRecord& record);
  void Cancel(size_t vm, const CancelSend& action);
  void Finish(size_t vm, RequestId request, CrashSimulationOutcome end);
  void Deliver(size_t vm, const SendToServer& action);
  void RunQueued(Server& server);
  void FinishWork(Server& server, uint64_t work);
  void Reply(const Work& work, AttemptEnd end);
  void LoseAll(Server& server);
  void StartServer(Server& server);
  ServerEntry EntryOf(const Server& server, Duration cold_left) const;
  void StartVm(size_t vm);
  void SendNormalRequest(int per_second);
  void SendNormalAttempt(const RequestDigest& digest,
                         uint64_t object,
                         int retries);
  bool Crashes(const RequestDigest& digest) const;

  trial::EventQueue m_queue;
  Duration m_propagation_delay;
  std::minstd_rand m_random;
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::map<RequestDigest, History> m_crashing;
  /// A crash record in the store.
  struct StoredCrash {
    TimePoint m_lost;
    CrashSighting m_sighting;
  };
  std::map<CrashRecord, StoredCrash> m_store;
  std::shared_ptr<const RoutingTable> m_table;
  std::vector<FleetMember> m_fleet;
  uint64_t m_next = 1;
  CrashSimulationCounts m_normal;
  size_t m_suspected = 0;
  size_t m_held_back = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_CRASH_SIMULATION_H_
