/// @file membership.h Table of the entry VMs known to one of them.

#ifndef SORRELPLANK_CORE_MEMBERSHIP_H_
#define SORRELPLANK_CORE_MEMBERSHIP_H_

#include <map>
#include <vector>

#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// Result of merging a record.
enum class MergeResult {
  kStale,                   ///< Not newer than the known record.
  kAdvanced,                ///< A newer heartbeat of the known incarnation.
  kRestarted,               ///< First record of a VM or of a new incarnation.
  kNewerIncarnationOfSelf,  ///< A newer process runs under our own name.
};

/// Estimate of another VM's slots for one service, between its heartbeats.
struct SlotEstimate {
  uint32_t m_held = 0;
  /// As last reported by it, minus the requests forwarded to it since.
  uint32_t m_free = 0;
  /// If none are free: when it expects a free slot.
  TimePoint m_retry_at{};
};

/// One known entry VM.
struct Member {
  VmRecord m_record;
  /// When its heartbeat last advanced, by the local clock. Clocks of VMs are
  /// never compared, as they may differ by minutes.
  TimePoint m_heard;
  std::map<NameHash, SlotEstimate> m_slot_estimates;
  /// Its record came from another place and has not been relayed to the
  /// siblings yet.
  bool m_is_relay_pending = false;
};

/// Table of all entry VMs known directly or through others.
class Membership {
 public:
  /// The incarnation is our own; it serves to detect a successor under our
  /// name.
  Membership(VmName self, NameHash place, Incarnation incarnation);

  /// Raises our incarnation above that of a predecessor; see Node.
  void SetIncarnation(Incarnation incarnation) {
    m_own_incarnation = incarnation;
  }

  /// Merges a record received by gossip.
  MergeResult Merge(const VmRecord& record, TimePoint now);

  /// Whether the VM's heartbeat has advanced within the timeout.
  bool IsAlive(const Member& member, TimePoint now) const;

  /// The member of this name, alive or not; nullptr if unknown.
  Member* Find(const VmName& name);
  bool Contains(const VmName& name) const { return m_members.contains(name); }

  /// Other live VMs of the same place.
  std::vector<const Member*> LiveSiblings(TimePoint now) const;

  /// All live VMs of a place except this one.
  std::vector<const Member*> LiveOf(NameHash place, TimePoint now) const;

  /// Stores the slots that a VM reported in a reply or notice.
  void UpdateSlotEstimate(const VmName& name,
                          const ServiceSlots& slots,
                          TimePoint retry_at);

  /// Removes VMs that have been silent for longer than kMemberExpiry. Returns
  /// whether there were any.
  bool RemoveExpired(TimePoint now);

  /// All known VMs by name.
  const std::map<VmName, Member>& All() const { return m_members; }
  std::map<VmName, Member>& All() { return m_members; }

 private:
  VmName m_self;
  NameHash m_place;
  Incarnation m_own_incarnation;
  std::map<VmName, Member> m_members;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_MEMBERSHIP_H_
