/// @file weighted_round_robin.cc Smooth weighted round robin.

#include "steer/weighted_round_robin.h"

#include <numeric>

#include "core/invariant_func.h"

namespace sorrelplank {

size_t WeightedRoundRobin::Next(const std::vector<double>& weights) {
  m_credit.resize(weights.size(), 0);
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  Invariant(total > 0, "at least one weight is positive");
  size_t best = weights.size();
  for (size_t item = 0; item < weights.size(); ++item) {
    if (weights[item] <= 0) {
      // Credit left from an earlier positive weight would cause a burst when
      // the weight becomes positive again.
      m_credit[item] = 0;
      continue;
    }
    m_credit[item] += weights[item] / total;
    if (best == weights.size() || m_credit[item] > m_credit[best]) {
      best = item;
    }
  }
  m_credit[best] -= 1;
  return best;
}

}  // namespace sorrelplank
