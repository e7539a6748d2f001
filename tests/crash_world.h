/// @file crash_world.h Entry VMs, backend servers and callers in virtual time,
/// where some requests crash the server that runs them.

#ifndef SORRELPLANK_TESTS_CRASH_WORLD_H_
#define SORRELPLANK_TESTS_CRASH_WORLD_H_

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

/// What became of one attempt of a caller.
enum class CrashWorldEnd : uint8_t {
  kAnswered,
  kRefused,  ///< "Not run".
  kFailed,   ///< It may have run.
};

/// What callers with sound requests saw.
struct CrashWorldCounts {
  size_t m_asked = 0;
  size_t m_answered = 0;
  size_t m_refused = 0;
  size_t m_failed = 0;
};

/// Each VM has real decisions. News of servers, and of requests that they ended
/// under, reaches every VM late by way of the store.
class CrashWorld {
 public:
  CrashWorld(size_t vms,
             size_t servers,
             uint32_t seed,
             Duration news = milliseconds(300));
  ~CrashWorld();

  void RunFor(Duration time);

  /// A caller asks once, at the given VM. The same digest is the same request.
  void Ask(size_t vm, const RequestDigest& digest, uint64_t object);
  /// From now on a request with this digest ends each server that runs it.
  void MakeCrashing(const RequestDigest& digest);
  /// Callers ask for other things, as many times a second, and once more each
  /// where they got no answer.
  void StartSoundRequests(int per_second);

  /// A server ends, whatever it runs, and is back some seconds later.
  void Crash(size_t server);
  /// A server closes all connections without an answer, and goes on.
  void ResetConnections(size_t server);

  /// From now on a VM hears nothing of requests that other VMs suspect.
  void CutOffFromNews(size_t vm);
  /// A VM starts anew; what is in the store it knows at once.
  void Restart(size_t vm);

  TimePoint Now() const { return m_queue.Now(); }
  size_t Vms() const { return m_vms.size(); }
  size_t AnyVm();
  /// Runs of servers that ended while they ran the request.
  size_t EndedUnder(const RequestDigest& digest) const;
  /// Sends of the request that reached a server later than the given time after
  /// the third run ended under it.
  size_t ReachedAfterThirdEnd(const RequestDigest& digest,
                              Duration later_than) const;
  const CrashWorldCounts& Sound() const { return m_sound; }
  /// Requests that a VM suspected, and that it held back, of any kind.
  size_t Suspected() const { return m_suspected; }
  size_t HeldBack() const { return m_held_back; }

 private:
  struct Vm;
  struct Server;
  struct Work;
  struct History {
    std::vector<TimePoint> m_ended;
    std::vector<TimePoint> m_reached;
  };

  void Take(size_t vm, const SteerAction& action);
  void Send(size_t vm, const SendToServer& action);
  void Check(size_t vm, const CheckServerReachable& action);
  void Tell(size_t vm, const CrashFact& fact, bool counts);
  void Cancel(size_t vm, const CancelSend& action);
  void Finish(size_t vm, RequestId request, CrashWorldEnd end);
  void Reach(size_t vm, const SendToServer& action);
  void RunQueued(Server& server);
  void EndOfRun(Server& server, uint64_t work);
  void Reply(const Work& work, AttemptEnd end);
  void LoseAll(Server& server);
  void StartServer(Server& server);
  ServerEntry EntryOf(const Server& server, Duration cold_left) const;
  void StartVm(size_t vm);
  void AskSound(int per_second);
  void AskSoundOnce(const RequestDigest& digest, uint64_t object, int retries);
  bool Crashes(const RequestDigest& digest) const;

  trial::EventQueue m_queue;
  Duration m_news;
  std::minstd_rand m_random;
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::map<RequestDigest, History> m_crashing;
  /// What the VMs noted.
  std::set<CrashFact> m_store;
  std::shared_ptr<const RoutingTable> m_table;
  std::vector<FleetMember> m_fleet;
  uint64_t m_next = 1;
  CrashWorldCounts m_sound;
  size_t m_suspected = 0;
  size_t m_held_back = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_CRASH_WORLD_H_
