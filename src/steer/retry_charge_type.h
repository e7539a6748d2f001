/// @file retry_charge_type.h What a retry was charged to.

#ifndef SORRELPLANK_STEER_RETRY_CHARGE_TYPE_H_
#define SORRELPLANK_STEER_RETRY_CHARGE_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// State of a service's retry budget at this VM just after a retry was charged;
/// for logs.
struct RetryCharge {
  /// Requests and retries in the budget's window.
  uint32_t m_requests = 0;
  uint32_t m_retries = 0;
  /// Of these retries, how many the fixed extra paid for, and how many it may.
  double m_paid_by_extra = 0;
  double m_extra = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETRY_CHARGE_TYPE_H_
