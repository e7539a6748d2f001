/// @file weighted_round_robin.h Deals turns in proportion to weights.

#ifndef SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_
#define SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

namespace sorrelplank {

/// Smooth weighted round robin: after any number of turns each part is within
/// one turn of its share. Drawing at random would be off by several percent
/// over the few hundred requests that a split is judged by.
class WeightedRoundRobin {
 public:
  /// Index of the part whose turn it is. Weights may change between turns; at
  /// least one must be above zero.
  size_t Next(const std::vector<double>& weights);

 private:
  std::vector<double> m_credit;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_WEIGHTED_ROUND_ROBIN_H_
