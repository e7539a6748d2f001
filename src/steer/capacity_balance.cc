/// @file capacity_balance.cc Comparison of the regions' slots.

#include <algorithm>
#include <limits>

#include "steer/capacity_balance_func.h"

namespace sorrelplank {

namespace {

/// Ratio of slots between two regions from which on the smaller one cannot
/// serve an equal share of callers, even if its servers are half idle at the
/// larger one's load.
constexpr double kUnevenCapacityRatio = 2;

}  // namespace

bool IsCapacityUneven(const std::vector<double>& slots_by_region) {
  double most = 0;
  double fewest = std::numeric_limits<double>::infinity();
  for (const double slots : slots_by_region) {
    if (slots > 0) {
      most = std::max(most, slots);
      fewest = std::min(fewest, slots);
    }
  }
  return most >= kUnevenCapacityRatio * fewest;
}

}  // namespace sorrelplank
