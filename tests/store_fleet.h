/// @file store_fleet.h Simulates a store and the VMs that follow it, in virtual
/// time.

#ifndef SORRELPLANK_TESTS_STORE_FLEET_H_
#define SORRELPLANK_TESTS_STORE_FLEET_H_

#include <cstdint>
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

/// Faults injected into a VM.
struct VmFaults {
  bool m_is_down = false;    ///< Does nothing and answers nothing.
  bool m_is_paused = false;  ///< As m_is_down, but continues afterwards.
  bool m_is_cut_off_from_store =
      false;  ///< Its calls to the store are not answered.
  bool m_is_refused_by_store = false;  ///< The store refuses its calls.
  bool m_drops_answers = false;        ///< Its replies to other VMs are lost.
};

/// A fleet of real StoreFollower objects over simulated links, and a store that
/// can be silent, refuse calls, expire entries and discard its history.
class StoreFleet {
 public:
  /// Changes must be in force at the VMs within `max_lag`.
  StoreFleet(size_t domains,
             size_t vms_per_domain,
             Duration max_lag = seconds(4));
  ~StoreFleet();

  /// Starts all VMs within a third of a second; each one registers itself.
  void StartAll();
  /// Starts the first VMs only; Restart() lets one of the others join later.
  void StartFirst(size_t count);
  void RunFor(Duration time);

  // The store, as seen by other writers.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void DiscardHistory();
  /// Limits the events in one response to a watch.
  void SetMaxWatchEvents(size_t count) { m_max_watch_events = count; }
  /// Returns the store to its state before the last `changes` changes; it gives
  /// out their revisions again.
  void RestoreOlderCopy(size_t changes);
  /// Whether the store refuses or ignores the calls of all VMs.
  void SetStoreRefuses(bool refuses) { m_is_store_refusing = refuses; }
  void SetStoreSilent(bool is_silent) { m_is_store_silent = is_silent; }

  TimePoint Now() const { return m_queue.Now(); }
  size_t Size() const { return m_vms.size(); }
  VmFaults& FaultsOf(size_t vm) { return m_vms[vm]->m_faults; }
  void Restart(size_t vm);
  /// Stops all VMs, and starts them together after the given time.
  void RestartAll(Duration away);
  /// Indices of the VMs that watch the store themselves.
  std::vector<size_t> Watchers() const;
  const StoreFollower& Follower(size_t vm) const {
    return *m_vms[vm]->m_follower;
  }
  /// Whether a VM's copy has this value for the key; an empty value means that
  /// the key is absent.
  bool HasValue(size_t vm,
                const std::string& key,
                const std::string& value) const;
  /// Time until all running VMs have the value; `limit` if that does not
  /// happen.
  Duration TimeUntilAllHave(const std::string& key,
                            const std::string& value,
                            Duration limit);
  /// Largest number of keys that disappeared from a VM's copy in one step.
  size_t MaxRemovedAtOnce() const { return m_max_removed_at_once; }
  /// Whether a VM ever replaced a value by an older one.
  bool HasRegressed() const { return m_has_regressed; }

  uint64_t Calls() const { return m_calls; }
  /// Number of items in the pages that VMs read from the store.
  uint64_t ItemsRead() const { return m_items_read; }

 private:
  struct Vm {
    size_t m_number = 0;
    FleetMember m_member;
    VmAddress m_address;
    VmFaults m_faults;
    std::unique_ptr<StoreFollower> m_follower;
    std::map<std::string, StoreItem> m_copy;
    /// Incremented at each restart; replies to calls of an earlier run are
    /// dropped.
    uint64_t m_run = 0;
  };

  void Start(Vm& vm);
  void Tick(Vm& vm, uint64_t run);
  void ApplyChanges(Vm& vm, const StoreMirror::Changes& changes);
  void Execute(Vm& vm, const FollowAction& action);
  void Execute(Vm& vm, const ReadPage& page);
  void Execute(Vm& vm, const WatchStore& watch);
  void Execute(Vm& vm, const QueryRelay& query);
  void Execute(Vm& vm, const PauseFollowing& pause);
  /// Runs a step of a VM after the delay. While the VM is paused, the step is
  /// delayed; if it is down or was restarted, the step is dropped.
  void RunAfter(Vm& vm, Duration delay, std::function<void()> step);
  /// Returns whether the store answers this VM; otherwise passes the refusal or
  /// the timeout to `take`.
  bool IsAnswered(Vm& vm,
                  Duration timeout,
                  const std::function<void(const StoreReadResult&)>& take);
  StoreReadResult EventsAfter(Revision revision) const;
  void PollWatch(Vm& vm,
                 Revision after,
                 TimePoint until,
                 const std::function<void(const StoreReadResult&)>& take);

  Duration m_max_lag;
  trial::EventQueue m_queue;
  std::map<std::string, StoreItem> m_items;
  std::vector<StoreItem> m_history;
  uint64_t m_revision = 10;
  uint64_t m_discarded_revision = 0;
  /// All changes; not affected by DiscardHistory().
  std::vector<StoreItem> m_all_changes;
  uint64_t m_era = 1;
  size_t m_max_watch_events = SIZE_MAX;
  bool m_is_store_refusing = false;
  bool m_is_store_silent = false;
  std::vector<std::unique_ptr<Vm>> m_vms;
  DecisionLog m_log;
  uint64_t m_calls = 0;
  uint64_t m_items_read = 0;
  size_t m_max_removed_at_once = 0;
  bool m_has_regressed = false;
};

}  // namespace sorrelplank::platform

#endif  // SORRELPLANK_TESTS_STORE_FLEET_H_
