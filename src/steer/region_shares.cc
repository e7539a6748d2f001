/// @file region_shares.cc Bounded changes of region shares.

#include "steer/region_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "steer/slot_split_func.h"

namespace sorrelplank {

namespace {

/// Running and waiting requests per slot of the own region above which objects
/// move elsewhere: slots are full and queues form. Moved sooner, objects leave
/// servers that have cached them; under overload that cost a tenth of the
/// value of the responses.
constexpr double kHighUtilisation = 1.2;
/// Below this they move back; the gap prevents oscillation.
constexpr double kLowUtilisation = 0.7;
/// A region that receives objects must be less utilised than the other by this
/// much.
constexpr double kMinUtilisationGap = 0.2;

/// Fraction of the maximum speed at which objects move back. Moving back is
/// never urgent, and happens at low traffic, where two windows also differ by
/// chance: starts at low load with eight seeds and 500 requests per window
/// changed 0.114 to 0.150 of the requests (0.15 allowed), and 0.122 to 0.177 at
/// full speed. Moving away more slowly from a full region costs callers: the
/// value of the responses under overload, over 30 days, was 0.585 of the
/// maximum with this factor in both directions, and 0.592 with it for moving
/// back only.
constexpr double kReturnSpeedFactor = 0.75;

/// Weight per slot of a region without a share; negligible against any share.
constexpr double kZeroShareWeight = 1e-9;

/// A hash in 0..1, the same in every process.
double UnitHash(uint64_t object, size_t region) {
  const uint64_t parts[] = {object, region};
  const uint64_t hash = XXH3_64bits(parts, sizeof(parts));
  return (static_cast<double>(hash >> 11U) + 1) / 9007199254740993.0;
}

}  // namespace

RegionShares::RegionShares(size_t regions, size_t own)
    : m_own(own), m_shares(regions, 0), m_loads(regions) {
  m_shares[own] = 1;
}

void RegionShares::Update(const std::vector<RegionLoad>& loads,
                          double max_shift_per_second,
                          const MovedAwayBounds& bounds,
                          TimePoint now,
                          bool is_uneven) {
  const Duration since = std::min<Duration>(now - m_updated, seconds(1));
  m_updated = now;
  m_loads = loads;
  if (!m_has_started) {
    SetByCapacity();
    if (is_uneven) {
      SetBySlots();
    }
    return;
  }
  const double step = max_shift_per_second * ToMilliseconds(since) / 1000;
  if (is_uneven) {
    MoveTowardsSlots(step);
    return;
  }
  if (!loads[m_own].m_is_known && loads[m_own].m_slots > 0) {
    return;
  }
  const double max_move_back =
      std::clamp(MovedAway() - bounds.m_min, 0.0, step * kReturnSpeedFactor);
  const double max_move_away =
      std::clamp(bounds.m_max - MovedAway(), 0.0, step);
  const std::vector<double> before = m_shares;
  MoveBack(max_move_back);
  LimitMove(before, max_move_back);
  MoveAway(max_move_away);
  LimitMove(before, step);
}

void RegionShares::MoveBack(double max_move) {
  const double own = m_loads[m_own].m_utilisation;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const bool has_room =
        own < kLowUtilisation ||
        own + kMinUtilisationGap < m_loads[region].m_utilisation;
    if (region != m_own && has_room) {
      MoveBetween(region, m_own, max_move);
    }
  }
}

void RegionShares::MoveAway(double max_move) {
  const double own = m_loads[m_own].m_utilisation;
  if (own <= kHighUtilisation) {
    return;
  }
  size_t best = m_own;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const RegionLoad& load = m_loads[region];
    const bool has_room =
        load.m_slots > 0 && load.m_utilisation + kMinUtilisationGap < own;
    const bool is_better =
        best == m_own || load.m_utilisation < m_loads[best].m_utilisation;
    if (region != m_own && has_room && is_better) {
      best = region;
    }
  }
  MoveBetween(m_own, best, max_move);
}

void RegionShares::LimitMove(const std::vector<double>& before, double step) {
  double moved = 0;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    moved += std::abs(m_shares[region] - before[region]) / 2;
  }
  if (moved <= step) {
    return;
  }
  // The bound applies to all of a region's requests together. With two other
  // regions each giving back at full speed, 0.196 of the requests changed
  // region between two windows of 2 s, in a replayed start with steady loads;
  // 0.121 with one step in total, and 0.092 with kReturnSpeedFactor.
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const double change = m_shares[region] - before[region];
    m_shares[region] = before[region] + change * step / moved;
  }
}

void RegionShares::Start() {
  if (!m_has_started) {
    m_has_started = true;
    m_own_at_start = m_shares[m_own];
  }
}

double RegionShares::LeastLoadElsewhere() const {
  std::optional<double> least;
  for (size_t region = 0; region < m_loads.size(); ++region) {
    const RegionLoad& load = m_loads[region];
    if (region != m_own && load.m_slots > 0) {
      least = std::min(least.value_or(load.m_utilisation), load.m_utilisation);
    }
  }
  return least.value_or(0);
}

void RegionShares::SetByCapacity() {
  std::fill(m_shares.begin(), m_shares.end(), 0);
  m_shares[m_own] = 1;
  double total = 0;
  for (const RegionLoad& load : m_loads) {
    total += load.m_slots;
  }
  if (total <= 0) {
    return;
  }
  const double mean = total / static_cast<double>(m_loads.size());
  const double missing = std::max(0.0, mean - m_loads[m_own].m_slots);
  double surplus = 0;
  for (const RegionLoad& load : m_loads) {
    surplus += std::max(0.0, load.m_slots - mean);
  }
  if (missing <= 0 || surplus <= 0) {
    return;
  }
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const double spare = std::max(0.0, m_loads[region].m_slots - mean);
    MoveBetween(m_own, region, missing / mean * spare / surplus);
  }
}

void RegionShares::SetBySlots() {
  std::vector<double> slots;
  slots.reserve(m_loads.size());
  for (const RegionLoad& load : m_loads) {
    slots.push_back(load.m_slots);
  }
  const std::vector<double> split = SplitBySlots(slots, m_own);
  if (std::any_of(split.begin(), split.end(),
                  [](double share) { return share > 0; })) {
    m_shares = split;
  }
}

void RegionShares::MoveTowardsSlots(double step) {
  const std::vector<double> before = m_shares;
  SetBySlots();
  const bool moves_back = m_shares[m_own] > before[m_own];
  LimitMove(before, moves_back ? step * kReturnSpeedFactor : step);
}

void RegionShares::MoveBetween(size_t from, size_t to, double share) {
  const double moved = std::min(share, m_shares[from]);
  m_shares[from] -= moved;
  m_shares[to] += moved;
}

size_t RegionShares::RegionOf(uint64_t object, Mask allowed) const {
  const size_t region =
      BestRegion(object, allowed, &RegionLoad::m_reachable_slots);
  return region < m_shares.size()
             ? region
             : BestRegion(object, allowed, &RegionLoad::m_slots);
}

size_t RegionShares::BestRegion(uint64_t object,
                                Mask allowed,
                                double RegionLoad::*slots) const {
  size_t best = m_shares.size();
  double best_score = 0;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const bool is_allowed = ((allowed >> region) & 1U) != 0;
    const double usable = m_loads[region].*slots;
    if (!is_allowed || usable <= 0) {
      continue;
    }
    // A region without a share is chosen only if no other region is left.
    const double weight =
        m_shares[region] > 0 ? m_shares[region] : kZeroShareWeight * usable;
    const double score = -weight / std::log(UnitHash(object, region));
    if (best == m_shares.size() || score > best_score) {
      best = region;
      best_score = score;
    }
  }
  return best;
}

}  // namespace sorrelplank
