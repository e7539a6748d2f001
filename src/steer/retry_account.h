/// @file retry_account.h What requests of a sliding window pay for.

#ifndef SORRELPLANK_STEER_RETRY_ACCOUNT_H_
#define SORRELPLANK_STEER_RETRY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time_type.h"
#include "steer/retry_charge_type.h"

namespace sorrelplank {

/// Limits retries in a sliding window by the requests in it and a fixed extra,
/// for one entry VM of many.
///
/// Callers move between VMs within a window. If each VM used all requests of
/// its own last window, the requests of two windows would pay for the retries
/// of one. A retry is therefore paid for by requests of the last kCreditBuckets
/// only, or by the extra: the retries of a window need at most the requests of
/// the window and of these buckets before it, whichever VMs they arrived at.
/// An account with few requests keeps the credit for one retry for longer.
class RetryAccount {
 public:
  /// Part of the ratio that all VMs together may use, since requests of
  /// kCreditBuckets before a window pay for retries in it.
  static constexpr double kRatioFraction = 0.9;
  /// Buckets of the window, including the current, incomplete one.
  static constexpr size_t kBuckets = 20;

  explicit RetryAccount(Duration window);

  void CountRequest(TimePoint now);

  /// Whether one more retry stays within `ratio` times the requests and
  /// `extra`.
  bool Allows(double ratio, double extra, TimePoint now);

  /// Counts a retry; to be called after Allows() with the same arguments.
  void Spend(double ratio, TimePoint now);

  /// Requests in the window.
  uint32_t Requests(TimePoint now);

  /// State after Spend().
  RetryCharge Describe(double extra) const;

 private:
  /// Including the current, incomplete bucket.
  static constexpr size_t kCreditBuckets = 2;
  static_assert(kRatioFraction * (kBuckets - 1 + kCreditBuckets) <=
                kBuckets - 1);

  /// Counts for one bucket, or for the whole window.
  struct Bucket {
    uint32_t m_requests = 0;
    uint32_t m_retries = 0;
    /// Retries that requests did not pay for, in parts of a retry.
    double m_paid_by_extra = 0;
  };

  void Advance(TimePoint now);
  Bucket Sum() const;
  /// Requests that can still pay for retries.
  double Credit(double ratio) const;
  /// Part of one retry that requests can pay for.
  double PaidByRequests(double ratio) const;
  Bucket& At(int64_t number) {
    return m_buckets[static_cast<size_t>(number) % kBuckets];
  }

  Duration m_bucket_length;
  int64_t m_bucket_number = 0;
  std::array<Bucket, kBuckets> m_buckets{};
  /// Requests that have not paid for a retry, also those that are too old.
  double m_unused_requests = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETRY_ACCOUNT_H_
