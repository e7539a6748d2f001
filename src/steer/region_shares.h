/// @file region_shares.h Which region runs the requests of a service.

#ifndef SORRELPLANK_STEER_REGION_SHARES_H_
#define SORRELPLANK_STEER_REGION_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// Load of a service in one region, as this entry VM knows it.
struct RegionLoad {
  /// Slots of the backend servers that may be sent to.
  double m_slots = 0;
  /// Of these, the slots that requests from here can reach now.
  double m_slots_within_reach = 0;
  /// Requests under way and waiting per slot, of all entry VMs.
  double m_utilisation = 0;
  /// Whether any of its servers has told its load lately.
  bool m_is_known = true;
};

/// Between which parts of all objects a split's MovedAway is to stay.
struct MovedAwayBounds {
  double m_least = -1;
  double m_most = 1;
};

/// Splits a service's objects over regions and moves the split slowly.
///
/// Load pattern: the callers of one region outgrow its slots while another
/// region has room. Sending each request that finds no slot elsewhere would
/// move a large part of a region's requests at once, and spread every object
/// over servers that are not warm for it. Here whole objects move, by highest
/// random weight over the regions' shares, and the shares move at a bounded
/// rate; only where no server of a region can be reached everything moves at
/// once.
class RegionShares {
 public:
  /// Bit r set: region r may run the request.
  using Mask = uint32_t;

  RegionShares(size_t regions, size_t own);

  /// Moves the split towards where there is room. Until Start it is set so that
  /// regions with the same demand would be loaded the same. Once started, no
  /// move takes MovedAway across the bounds.
  void Update(const std::vector<RegionLoad>& loads,
              double most_shift_per_second,
              const MovedAwayBounds& bounds,
              TimePoint now);

  /// Requests come from now on: the split moves slowly.
  void Start();
  bool HasStarted() const { return m_has_started; }
  /// Part of all objects that moved away from the own region since the start;
  /// negative where more came home.
  double MovedAway() const { return m_own_at_start - m_shares[m_own]; }

  /// The region of an object; the number of regions where none of the allowed
  /// ones has a server. A region out of reach is taken only where all are.
  size_t RegionOf(uint64_t object, Mask allowed) const;

  double Share(size_t region) const { return m_shares[region]; }
  double OwnShare() const { return m_shares[m_own]; }
  bool HasOwnSlots() const { return m_loads[m_own].m_slots > 0; }
  /// The loads that the last update was given.
  double OwnLoad() const { return m_loads[m_own].m_utilisation; }
  /// Of the other regions that have slots; 0 where there is none.
  double LeastLoadElsewhere() const;

 private:
  size_t BestRegion(uint64_t object,
                    Mask allowed,
                    double RegionLoad::*slots) const;
  void MoveBetween(size_t from, size_t to, double part);
  void SetByCapacity();
  /// Takes objects back from other regions where the own one has room.
  void MoveHome(double most);
  /// Gives objects to the least loaded region where the own one is full.
  void MoveAway(double most);
  /// Shortens all that moved since the shares were as given to one step.
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
