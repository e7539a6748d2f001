/// @file capacity_balance.cc Comparison of the regions' slots.

#include <algorithm>
#include <limits>

#include "steer/capacity_balance_func.h"

namespace sorrelplank {

namespace {

/// The farthest regions are 110 ms apart, there and back. Of a shorter target
/// that is over a fifth, and what it leaves to the work is less than callers
/// gain from evenly loaded regions.
constexpr Duration kMinTargetForAnyRegion = milliseconds(500);

}  // namespace

bool MayRunInAnyRegion(Duration shortest_target) {
  return shortest_target >= kMinTargetForAnyRegion;
}

bool IsCapacityUneven(const std::vector<double>& slots_by_region,
                      double ratio) {
  double most = 0;
  double fewest = std::numeric_limits<double>::infinity();
  for (const double slots : slots_by_region) {
    if (slots > 0) {
      most = std::max(most, slots);
      fewest = std::min(fewest, slots);
    }
  }
  return ratio > 0 && most >= ratio * fewest;
}

}  // namespace sorrelplank
