/// @file region_shares.h Distribution of a service's requests over regions.

#ifndef SORRELPLANK_STEER_REGION_SHARES_H_
#define SORRELPLANK_STEER_REGION_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// Load of a service in one region, as known to this entry VM.
struct RegionLoad {
  /// Slots of the backend servers that accept requests.
  double m_slots = 0;
  /// Of these, the slots that this VM can send to now.
  double m_reachable_slots = 0;
  /// Running and waiting requests per slot, of all entry VMs.
  double m_utilisation = 0;
  /// Whether any of its servers has reported its load recently.
  bool m_is_known = true;
};

/// Bounds on RegionShares::MovedAway, as fractions of all objects.
struct MovedAwayBounds {
  double m_min = -1;
  double m_max = 1;
};

/// Distributes a service's objects over regions by weights (shares) that change
/// at a bounded rate.
///
/// Load pattern: the callers of one region need more slots than it has while
/// another region has spare capacity. Sending each request without a free slot
/// elsewhere would move a large share of a region's requests at once, and
/// spread every object over servers that have not cached it. Instead whole
/// objects move, by weighted rendezvous hashing over the shares, and the shares
/// change at a bounded rate. All objects move at once only if no server of a
/// region is reachable.
///
/// In a service with uneven capacity (see IsCapacityUneven) the load pattern is
/// another: the demand of the regions rises and falls by turns, and a small
/// region never has the slots for its own callers. Shares that follow the load
/// then move all the time, and each VM's in its own way. Instead the shares
/// follow the slots (see SplitBySlots) and are the same at all VMs of a region.
/// They change only as slots do, at the same bounded rate.
class RegionShares {
 public:
  /// Bit r set: region r may run the request.
  using Mask = uint32_t;

  RegionShares(size_t regions, size_t own);

  /// Shifts shares towards regions with spare capacity. Before Start() the
  /// shares are set so that regions of equal demand would be equally loaded.
  /// After it, no shift takes MovedAway() across the bounds.
  ///
  /// In an uneven service, shares are set by the regions' slots, and move
  /// towards that split after Start(). The bounds do not apply then:
  /// they keep services close to each other whose shares follow the load, and
  /// would stop a service for good if only its own slots had changed.
  void Update(const std::vector<RegionLoad>& loads,
              double max_shift_per_second,
              const MovedAwayBounds& bounds,
              TimePoint now,
              bool is_uneven = false);

  /// To be called at the first request; from then on shares change slowly.
  void Start();
  bool HasStarted() const { return m_has_started; }
  /// Fraction of all objects that moved out of the own region since Start();
  /// negative if more moved into it.
  double MovedAway() const { return m_own_at_start - m_shares[m_own]; }

  /// The region of an object; the number of regions if none of the allowed ones
  /// has a server. An unreachable region is chosen only if all are unreachable.
  size_t RegionOf(uint64_t object, Mask allowed) const;

  double Share(size_t region) const { return m_shares[region]; }
  /// Utilisation of the region at the last update.
  double Load(size_t region) const { return m_loads[region].m_utilisation; }
  double OwnShare() const { return m_shares[m_own]; }
  bool HasOwnSlots() const { return m_loads[m_own].m_slots > 0; }
  /// Utilisation of the own region at the last update.
  double OwnLoad() const { return m_loads[m_own].m_utilisation; }
  /// Lowest utilisation of the other regions that have slots; 0 without one.
  double LeastLoadElsewhere() const;

 private:
  size_t BestRegion(uint64_t object,
                    Mask allowed,
                    double RegionLoad::*slots) const;
  void MoveBetween(size_t from, size_t to, double share);
  void SetByCapacity();
  /// Sets the shares by the regions' slots; keeps them if there are none.
  void SetBySlots();
  /// Moves towards the shares of SetBySlots(), by at most `step` in total.
  void MoveTowardsSlots(double step);
  /// Moves objects back from other regions if the own one has spare capacity.
  void MoveBack(double max_move);
  /// Moves objects to the least loaded region if the own one is full.
  void MoveAway(double max_move);
  /// Scales the change since `before` down to `step` in total.
  void LimitMove(const std::vector<double>& before, double step);

  size_t m_own;
  std::vector<double> m_shares;
  std::vector<RegionLoad> m_loads;
  TimePoint m_updated{};
  bool m_has_started = false;
  double m_own_at_start = 1;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REGION_SHARES_H_
