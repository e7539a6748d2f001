/// @file store_fleet.h A store and the VMs that follow it, in virtual time.

#ifndef SORRELPLANK_TESTS_STORE_FLEET_H_
#define SORRELPLANK_TESTS_STORE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/store_follower.h"
#include "proxy/decision_log.h"
#include "trial/event_queue.h"

namespace sorrelplank::platform {

/// What may be wrong with a VM.
struct VmFaults {
  bool m_is_down = false;          ///< Answers nothing and does nothing.
  bool m_is_paused = false;        ///< As m_is_down, and goes on afterwards.
  bool m_is_store_cut = false;     ///< Its calls to the store are not answered.
  bool m_is_store_closed = false;  ///< The store refuses its calls.
  bool m_drops_answers = false;    ///< What it says to other VMs is lost.
};

/// A fleet of followers with real decisions over simulated links and a store
/// that can be silent, refuse, lapse entries and forget its history.
class StoreFleet {
 public:
  StoreFleet(size_t domains, size_t vms_per_domain);
  ~StoreFleet();

  /// Starts every VM within a third of a second and registers it.
  void StartAll();
  void RunFor(Duration time);

  // The store, as others write to it.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void ForgetHistory();
  /// Calls of all VMs are answered again, or no more.
  void SetStoreRefuses(bool refuses) { m_store_refuses = refuses; }
  void SetStoreSilent(bool is_silent) { m_store_is_silent = is_silent; }

  TimePoint Now() const { return m_queue.Now(); }
  size_t Size() const { return m_vms.size(); }
  VmFaults& FaultsOf(size_t vm) { return m_vms[vm]->m_faults; }
  void Restart(size_t vm);
  /// All VMs end, and start together after some time.
  void RestartAll(Duration away);
  /// Positions of the VMs that watch the store themselves.
  std::vector<size_t> Watchers() const;
  const StoreFollower& Follower(size_t vm) const {
    return *m_vms[vm]->m_follower;
  }
  /// Whether a VM's copy holds this value of the key; empty: does not hold it.
  bool Knows(size_t vm, const std::string& key, const std::string& value) const;
  /// How long until all VMs that are up know it; the longest time if never.
  Duration TimeUntilAllKnow(const std::string& key,
                            const std::string& value,
                            Duration longest);
  /// Largest number of keys that vanished from one VM's copy within a step.
  size_t MostLostAtOnce() const { return m_most_lost_at_once; }
  /// Whether a VM ever took a value that was older than the one it had.
  bool HasRegressed() const { return m_has_regressed; }

  uint64_t Calls() const { return m_calls; }
  /// Keys in the pages that VMs read from the store.
  uint64_t ItemsRead() const { return m_items_read; }

 private:
  struct Vm {
    size_t m_number = 0;
    FleetMember m_member;
    VmAddress m_address;
    VmFaults m_faults;
    std::unique_ptr<StoreFollower> m_follower;
    std::map<std::string, StoreItem> m_known;
    /// Replies to calls of an earlier run are dropped.
    uint64_t m_run = 0;
  };

  void Start(Vm& vm);
  void Tick(Vm& vm, uint64_t run);
  void TakeChanges(Vm& vm, const StoreMirror::Changes& changes);
  void Do(Vm& vm, const FollowAction& action);
  void Do(Vm& vm, const ReadPage& page);
  void Do(Vm& vm, const WatchStore& watch);
  void Do(Vm& vm, const AskRelay& query);
  void Do(Vm& vm, const PauseFollowing& pause);
  /// Runs a step of a VM once it is neither paused nor down, unless it was
  /// started anew meanwhile.
  void Later(Vm& vm, Duration delay, std::function<void()> step);
  /// Whether the store answers this VM; a refusal or silence is handed over.
  bool IsAnswered(Vm& vm,
                  Duration timeout,
                  const std::function<void(const StoreRead&)>& take);
  StoreRead EventsBehind(Revision revision) const;
  void PollWatch(Vm& vm,
                 Revision behind,
                 TimePoint until,
                 const std::function<void(const StoreRead&)>& take);

  trial::EventQueue m_queue;
  std::map<std::string, StoreItem> m_items;
  std::vector<StoreItem> m_history;
  uint64_t m_revision = 10;
  uint64_t m_forgotten = 0;
  bool m_store_refuses = false;
  bool m_store_is_silent = false;
  std::vector<std::unique_ptr<Vm>> m_vms;
  DecisionLog m_log;
  uint64_t m_calls = 0;
  uint64_t m_items_read = 0;
  size_t m_most_lost_at_once = 0;
  bool m_has_regressed = false;
};

}  // namespace sorrelplank::platform

#endif  // SORRELPLANK_TESTS_STORE_FLEET_H_
