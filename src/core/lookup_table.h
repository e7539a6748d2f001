/// @file lookup_table.h Answers to lookups: the entry VMs that a caller should
/// use.

#ifndef SORRELPLANK_CORE_LOOKUP_TABLE_H_
#define SORRELPLANK_CORE_LOOKUP_TABLE_H_

#include <memory>
#include <optional>
#include <vector>

#include "core/ids_type.h"
#include "core/membership.h"
#include "core/snapshot_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// One entry VM in a lookup answer.
struct LookupVm {
  VmName m_name;
  Incarnation m_incarnation;
  uint32_t m_ip = 0;
  uint16_t m_caller_port = 0;
};

/// Answer to a lookup.
struct LookupAnswer {
  /// Where the caller is sent: its home, or the target of a shift.
  std::optional<PlaceId> m_place;
  std::optional<PlaceId> m_home;
  /// In order of preference.
  std::vector<LookupVm> m_vms;
  Duration m_ttl{};
  ConfigVersion m_version;
};

/// Entry VMs per place, in the order in which a caller of that place should try
/// them: its own place, its region, the rest. The table is built when
/// membership changes, so that a lookup is only a prefix match and a short
/// copy.
class LookupTable {
 public:
  /// Builds the lists from all VMs that are alive, ready and not leaving.
  void Build(std::shared_ptr<const Snapshot> snapshot,
             const Membership& membership,
             const VmRecord& self,
             TimePoint now);

  /// Answers a caller. `elapsed` is the time since the configuration came into
  /// force here; the percentage of shifts grows with it.
  LookupAnswer Find(uint32_t caller_ip, Duration elapsed) const;

 private:
  PlaceId PlaceAfterShifts(PlaceId home,
                           uint32_t caller_ip,
                           Duration elapsed) const;

  std::shared_ptr<const Snapshot> m_snapshot;
  /// Per place: all usable VMs, nearest first, and how many of them are in the
  /// place.
  struct PlaceList {
    std::vector<LookupVm> m_vms;
    size_t m_local_count = 0;
  };
  std::vector<PlaceList> m_lists;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_LOOKUP_TABLE_H_
