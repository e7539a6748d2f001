/// @file retry_budget_share.h One entry VM's share of a service's retry budget.

#ifndef SORRELPLANK_STEER_RETRY_BUDGET_SHARE_H_
#define SORRELPLANK_STEER_RETRY_BUDGET_SHARE_H_

#include <optional>

#include "core/time_type.h"
#include "steer/retry_account.h"
#include "steer/retry_charge_type.h"

namespace sorrelplank {

/// Limits retries in a sliding window by the number of requests in that window,
/// and keeps parts of them for some of the retries.
///
/// The budget applies to all entry VMs together. Each VM is limited by its own
/// requests, which sum to the total, plus an equal share of the fixed extra, so
/// the shares stay within the budget without exchanging counts.
class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(Duration window);

  /// Counts the first attempt of a request.
  void CountRequest(TimePoint now);

  /// Counts a retry if the budget allows it; to be called before sending.
  /// Returns nothing if it does not.
  std::optional<RetryCharge> TrySpend(double ratio,
                                      double extra,
                                      TimePoint now);

  /// The same for a retry that is a hedge. Hedges get a part of the budget, so
  /// that the rest stays available for failures.
  std::optional<RetryCharge> TrySpendHedge(double ratio,
                                           double extra,
                                           TimePoint now);

  /// Counts a returning request that needs a retry, whether it gets one or not.
  void CountReturningNeed(TimePoint now);

  /// As TrySpend(), for a first call: leaves as much of the budget as returning
  /// requests needed within the window, up to a fixed part.
  ///
  /// Load pattern: servers shed half of all requests, and the retries of first
  /// calls spend the budget as soon as it grows. Returning requests then find
  /// none, and are rejected for good.
  std::optional<RetryCharge> TrySpendAsFirstCall(double ratio,
                                                 double extra,
                                                 TimePoint now);

 private:
  RetryAccount m_all;
  /// The part of hedges, and that of first calls.
  RetryAccount m_hedges;
  RetryAccount m_first_calls;
  /// Returning requests that needed a retry.
  RetryAccount m_returning;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETRY_BUDGET_SHARE_H_
