/// @file choose_backend_filter.h Chooses among the backend servers held here.

#ifndef SORRELPLANK_PIPELINE_CHOOSE_BACKEND_FILTER_H_
#define SORRELPLANK_PIPELINE_CHOOSE_BACKEND_FILTER_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/call_type.h"
#include "core/holdings.h"
#include "core/rate_window.h"
#include "core/safeguards_type.h"
#include "core/snapshot_type.h"

namespace sorrelplank {

/// Rates of requests over a capped link, by backend server and by region of the
/// caller's home.
using LinkWindows = std::map<std::pair<NameHash, NameHash>, RateWindow>;

/// Finds a held backend server with a free slot that the call may use, and
/// takes the slot.
class ChooseBackendFilter {
 public:
  ChooseBackendFilter(const Snapshot& snapshot,
                      PlaceId own_place,
                      Safeguards safeguards);

  /// Takes a slot for the call, if there is one that it may use.
  std::optional<NameHash> Apply(const Call& call,
                                Holdings& holdings,
                                LinkWindows& links,
                                TimePoint now) const;

  /// Held and free slots of a service, as reported in heartbeats.
  ServiceSlots CountSlots(NameHash service,
                          Holdings& holdings,
                          TimePoint now) const;

 private:
  /// A held backend server with a free slot.
  struct Candidate {
    const BackendServer* m_backend = nullptr;
    HeldBackend* m_held = nullptr;
    double m_score = 0;
    bool m_is_ejected = false;
  };

  /// All candidates, and the slots of the service held here.
  struct Candidates {
    std::vector<Candidate> m_list;
    uint32_t m_held_slots = 0;
    uint32_t m_free_slots = 0;
  };

  Candidates Collect(const Call& call, Holdings& holdings, TimePoint now) const;
  bool IsShifted(const Call& call) const;
  bool IsFromOtherRegion(const Call& call) const;
  bool TryCountShiftedRequest(const Call& call,
                              const BackendServer& backend,
                              HeldBackend& held,
                              LinkWindows& links,
                              TimePoint now) const;
  double Score(const BackendServer& backend,
               HeldBackend& held,
               TimePoint now) const;

  const Snapshot& m_snapshot;
  PlaceId m_own_place;
  Safeguards m_safeguards;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PIPELINE_CHOOSE_BACKEND_FILTER_H_
