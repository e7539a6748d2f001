/// @file choose_place_filter.h Chooses the entry VM to forward a request to.

#ifndef SORRELPLANK_PIPELINE_CHOOSE_PLACE_FILTER_H_
#define SORRELPLANK_PIPELINE_CHOOSE_PLACE_FILTER_H_

#include <random>

#include "core/call_type.h"
#include "core/route_table.h"
#include "core/snapshot_type.h"

namespace sorrelplank {

/// Chooses the entry VM to forward a request to when no slot is free here: a
/// sibling, another place of the region, or another region. The slot estimates
/// lag, so they only guide the choice; the holder alone decides whether it
/// accepts.
class ChoosePlaceFilter {
 public:
  explicit ChoosePlaceFilter(const Snapshot& snapshot) : m_snapshot(snapshot) {}

  /// Returns the cheapest route that costs less than waiting here; nullptr if
  /// there is none. Costs are run times and busy shares, weighted by the
  /// policy.
  const Route* Apply(const Call& call,
                     const std::vector<Route>& routes,
                     Duration run_time,
                     double cost_of_waiting,
                     std::mt19937_64& random,
                     TimePoint now) const;

  /// Cost of waiting here for the given time.
  double CostOfWaiting(Duration wait, Duration run_time) const;

 private:
  bool MayUse(const Call& call, const Route& route, TimePoint now) const;

  const Snapshot& m_snapshot;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PIPELINE_CHOOSE_PLACE_FILTER_H_
