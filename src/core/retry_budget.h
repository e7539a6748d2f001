/// @file retry_budget.h Bounds retries by the number of first attempts.

#ifndef SORRELPLANK_CORE_RETRY_BUDGET_H_
#define SORRELPLANK_CORE_RETRY_BUDGET_H_

#include <algorithm>

namespace sorrelplank {

/// Each first attempt earns a fraction of a retry. When everything fails, the
/// load grows by that fraction at most instead of by a factor. Without the
/// budget, retries would add most load to a place when it is overloaded
/// already.
class RetryBudget {
 public:
  /// Adds the fraction earned by a first attempt.
  void CountFirstAttempt(double fraction) {
    m_tokens = std::min(kMaxTokens, m_tokens + fraction);
  }

  /// Spends one retry, if one has been earned.
  bool TrySpend() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 10;

  double m_tokens = kMaxTokens;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_RETRY_BUDGET_H_
