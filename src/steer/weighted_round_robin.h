/// @file weighted_round_robin.h Weighted round robin scheduling.

#ifndef SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_
#define SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

namespace sorrelplank {

/// Smooth weighted round robin: after any number of turns, each item's count
/// differs from its weighted share by less than one turn. Random selection
/// would deviate by several percent over the few hundred requests that a
/// traffic split is checked over.
class WeightedRoundRobin {
 public:
  /// Index of the item whose turn it is. Weights may change between turns; at
  /// least one must be positive.
  size_t Next(const std::vector<double>& weights);

 private:
  std::vector<double> m_credit;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_
