/// @file region_shares.cc The slow split over regions.

#include "steer/region_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace sorrelplank {

namespace {

/// Requests under way and waiting per slot of the own region above which
/// objects are sent elsewhere: slots are full and lines form. Moved sooner,
/// objects leave servers that are warm for them; under overload that cost a
/// tenth of the worth.
constexpr double kHigh = 1.2;
/// Below this they come back; the gap keeps the split from swinging.
constexpr double kLow = 0.7;
/// A region that takes more must be less loaded than ours by this much.
constexpr double kGap = 0.2;

/// Part of the speed at which objects come home. It is never urgent, and meets
/// little traffic, where two windows differ by chance: calm starts with eight
/// seeds and 500 requests a window changed 0.114 to 0.150 of the requests (0.15
/// allowed), 0.122 to 0.177 at the whole speed. Where the own region is full,
/// slower moves away cost callers: value of the answers under overload, 30
/// days, 0.585 of the most at this part for both ways, 0.592 for the way home
/// alone.
constexpr double kHomePart = 0.75;

/// Weight of a slot in a region without a share, small beside any share.
constexpr double kNoShare = 1e-9;

/// A number in 0..1, the same in every process.
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
                          double most_shift_per_second,
                          const MovedAwayBounds& bounds,
                          TimePoint now) {
  const Duration since = std::min<Duration>(now - m_updated, seconds(1));
  m_updated = now;
  m_loads = loads;
  if (!m_has_started) {
    SetByCapacity();
    return;
  }
  if (!loads[m_own].m_is_known && loads[m_own].m_slots > 0) {
    return;
  }
  const double step = most_shift_per_second * ToMilliseconds(since) / 1000;
  const double may_come =
      std::clamp(MovedAway() - bounds.m_least, 0.0, step * kHomePart);
  const double may_leave = std::clamp(bounds.m_most - MovedAway(), 0.0, step);
  const std::vector<double> before = m_shares;
  MoveHome(may_come);
  LimitMove(before, may_come);
  MoveAway(may_leave);
  LimitMove(before, step);
}

void RegionShares::MoveHome(double most) {
  const double own = m_loads[m_own].m_utilisation;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const bool has_room =
        own < kLow || own + kGap < m_loads[region].m_utilisation;
    if (region != m_own && has_room) {
      MoveBetween(region, m_own, most);
    }
  }
}

void RegionShares::MoveAway(double most) {
  const double own = m_loads[m_own].m_utilisation;
  if (own <= kHigh) {
    return;
  }
  size_t best = m_own;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    const RegionLoad& load = m_loads[region];
    const bool has_room = load.m_slots > 0 && load.m_utilisation + kGap < own;
    const bool is_better =
        best == m_own || load.m_utilisation < m_loads[best].m_utilisation;
    if (region != m_own && has_room && is_better) {
      best = region;
    }
  }
  MoveBetween(m_own, best, most);
}

void RegionShares::LimitMove(const std::vector<double>& before, double step) {
  double moved = 0;
  for (size_t region = 0; region < m_shares.size(); ++region) {
    moved += std::abs(m_shares[region] - before[region]) / 2;
  }
  if (moved <= step) {
    return;
  }
  // The bound is on a region's requests as a whole. Where each of two other
  // regions gave back at the whole speed, 0.196 of the requests changed region
  // between two windows of 2 s, in a replayed start with steady loads; 0.121
  // with one step in all, and 0.092 at the speed of the way home.
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

void RegionShares::MoveBetween(size_t from, size_t to, double part) {
  const double moved = std::min(part, m_shares[from]);
  m_shares[from] -= moved;
  m_shares[to] += moved;
}

size_t RegionShares::RegionOf(uint64_t object, Mask allowed) const {
  const size_t region =
      BestRegion(object, allowed, &RegionLoad::m_slots_within_reach);
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
    // A region without a share is only taken where no other one is left.
    const double weight =
        m_shares[region] > 0 ? m_shares[region] : kNoShare * usable;
    const double score = -weight / std::log(UnitHash(object, region));
    if (best == m_shares.size() || score > best_score) {
      best = region;
      best_score = score;
    }
  }
  return best;
}

}  // namespace sorrelplank
