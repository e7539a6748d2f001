/// @file holdings.h Backend servers that this entry VM may dispatch to.

#ifndef SORRELPLANK_CORE_HOLDINGS_H_
#define SORRELPLANK_CORE_HOLDINGS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "core/held_backend.h"
#include "core/ids_type.h"
#include "core/membership.h"
#include "core/safeguards_type.h"
#include "core/snapshot_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// Tracks which backend servers of the place this entry VM holds, so that each
/// server is dispatched to by one entry VM at a time and its slots are exact
/// local state. The protocol:
/// - The assignment over the live entry VMs of the place determines which VM
///   should hold a server.
/// - A holder that should no longer hold stops dispatching, completes what is
///   in flight, and then drops the server from the list in its heartbeat.
/// - The VM that should hold claims first: it lists the server without
///   dispatching to it.
/// - A claim becomes a hold once each sibling has heard the claim and does not
///   list the server, or has been silent for so long that none of its requests
///   can be in flight.
/// If two VMs claim at once, each sees the claim of the other and neither holds
/// until the assignment, which both compute, drops one of them.
class Holdings {
 public:
  Holdings(VmName self,
           Incarnation incarnation,
           Safeguards safeguards,
           TimePoint start);

  /// Applies a configuration change. Servers that were removed from it are
  /// released by the next Reconcile.
  void Install(const Snapshot& snapshot, PlaceId place);

  /// Updates the holders of servers from a sibling's new record.
  void Observe(const VmRecord& record, TimePoint now);

  /// Input of Reconcile.
  struct View {
    const Snapshot& m_snapshot;
    PlaceId m_place;
    /// VMs that may hold: live VMs of the place, including this one unless it
    /// is leaving.
    const std::vector<VmName>& m_vms;
    const Membership& m_members;
    /// Sequence number of our next record, the first to list a new claim.
    uint64_t m_next_sequence = 0;
  };

  /// Claims, holds and releases servers. Returns whether our record changed.
  bool Reconcile(const View& view, TimePoint now);

  /// The server if we may dispatch to it now, else nullptr.
  HeldBackend* Dispatchable(NameHash backend);

  /// The server if it is held here or has requests in flight, else nullptr.
  HeldBackend* Find(NameHash backend);

  /// Servers to list in our record: claims, holds, and those with requests in
  /// flight.
  std::vector<NameHash> ListedBackends(TimePoint now);

  /// Servers that we may dispatch to.
  std::vector<NameHash> DispatchableBackends() const;

  /// Turns every hold back into a claim after a pause, during which others may
  /// have taken over. `members` is the membership as known before the pause.
  void Demote(const Membership& members,
              NameHash place,
              uint64_t next_sequence,
              TimePoint now);

  /// Raises our incarnation above that of a predecessor; see Node.
  void SetIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }

  /// Ends all dispatching because a newer process runs under our name.
  void Retire() { m_is_retired = true; }

  /// Whether a server that was held before a pause is not held again yet.
  bool IsDemoted() const;

 private:
  /// State of a server of our place at this VM.
  enum class Hold : uint8_t {
    kNone,
    kClaimed,    ///< Listed in our record; nothing is dispatched yet.
    kHeld,       ///< Dispatched to.
    kReleasing,  ///< No longer dispatched to; requests in flight complete.
  };

  /// A server of our place.
  struct Entry {
    Hold m_hold = Hold::kNone;
    /// Sequence number of our first record that lists the claim.
    uint64_t m_claim_sequence = 0;
    /// The last other VM that listed it; empty if none.
    VmName m_claimant;
    Incarnation m_claimant_incarnation;
    /// The server cannot be held here before this time.
    TimePoint m_blocked_until{};
    /// After this much silence of a holder none of its requests is in flight.
    Duration m_takeover_wait{};
    bool m_was_demoted = false;
    std::unique_ptr<HeldBackend> m_backend;
  };

  bool ReconcileEntry(NameHash hash,
                      Entry& entry,
                      bool should_hold,
                      const View& view,
                      TimePoint now);
  bool IsClaimAccepted(NameHash hash,
                       const Entry& entry,
                       const View& view,
                       TimePoint now) const;
  bool MayHaveMissedTakeover(const Entry& entry,
                             const View& view,
                             TimePoint now) const;
  bool IsClaimAcceptedBy(const Member& sibling,
                         NameHash hash,
                         const Entry& entry,
                         const View& view,
                         TimePoint now) const;

  VmName m_self;
  Incarnation m_incarnation;
  Safeguards m_safeguards;
  TimePoint m_start;
  /// Silence of siblings counts from here: our start or the end of our last
  /// pause.
  TimePoint m_listening_since;
  /// Siblings and their incarnations before our last pause.
  std::map<VmName, Incarnation> m_known_at_pause;
  bool m_is_retired = false;
  std::map<NameHash, Entry> m_entries;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_HOLDINGS_H_
