/// @file slot_split.cc Own shares, and spare slots of the regions.

#include <algorithm>
#include <numeric>

#include "steer/slot_split_func.h"

namespace sorrelplank {

namespace {

/// A region with slots for a smaller fraction of its callers' requests is
/// small.
constexpr double kMinHomeShare = 0.85;
/// If other regions sent the small ones more than this fraction of their
/// requests, all regions run their fractions of the slots.
constexpr double kMaxSentToSmall = 0.5;

/// What the regions with slots run, as fractions.
struct Regions {
  /// Fractions of all slots.
  std::vector<double> m_slots;
  /// Fractions of all requests that the callers of one region ask for.
  double m_demand = 0;

  bool IsSmall(size_t region) const {
    return m_slots[region] < kMinHomeShare * m_demand;
  }
  /// Fraction of its callers' requests that a region has slots for.
  double Covered(size_t region) const {
    return std::min(1.0, m_slots[region] / m_demand);
  }
};

Regions MeasureRegions(const std::vector<double>& slots, double total) {
  Regions regions;
  double count = 0;
  for (const double one : slots) {
    regions.m_slots.push_back(one / total);
    count += one > 0 ? 1 : 0;
  }
  regions.m_demand = 1 / count;
  return regions;
}

/// Fraction of its requests that each region that is not small sends to the
/// small regions, per slot fraction of these.
double RateToSmall(const Regions& regions) {
  double others = 0;
  for (size_t region = 0; region < regions.m_slots.size(); ++region) {
    others += regions.IsSmall(region) ? 0 : 1;
  }
  return (1 / regions.m_demand - 1) / others;
}

}  // namespace

std::vector<double> SplitBySlots(const std::vector<double>& slots, size_t own) {
  const double total = std::accumulate(slots.begin(), slots.end(), 0.0);
  std::vector<double> split(slots.size(), 0);
  if (total <= 0) {
    return split;
  }
  const Regions regions = MeasureRegions(slots, total);
  const double to_small = RateToSmall(regions);
  double sent_to_small = 0;
  for (size_t region = 0; region < slots.size(); ++region) {
    sent_to_small +=
        regions.IsSmall(region) ? to_small * regions.m_slots[region] : 0;
  }
  if (slots[own] <= 0 || sent_to_small > kMaxSentToSmall) {
    return regions.m_slots;
  }
  double spare = 0;
  for (size_t region = 0; region < slots.size(); ++region) {
    if (!regions.IsSmall(region)) {
      const double home = regions.Covered(region) - sent_to_small;
      split[region] = regions.m_slots[region] - regions.m_demand * home;
      spare += split[region];
    }
  }
  const bool is_small = regions.IsSmall(own);
  const double elsewhere =
      1 - (is_small ? regions.m_slots[own] : regions.Covered(own));
  for (size_t region = 0; region < slots.size(); ++region) {
    split[region] *= spare > 0 ? elsewhere / spare : 0;
    if (!is_small && regions.IsSmall(region)) {
      split[region] = to_small * regions.m_slots[region];
    }
  }
  split[own] +=
      is_small ? regions.m_slots[own] : regions.Covered(own) - sent_to_small;
  return split;
}

}  // namespace sorrelplank
