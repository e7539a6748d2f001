/// @file steer_refusal_type.h Why a request gets no backend server's answer.

#ifndef SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_
#define SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_

#include <cstddef>
#include <cstdint>

#include "core/verdict_type.h"

namespace sorrelplank {

/// Reasons; rows of table/steer_refusal_table.h.
enum class SteerRefusal : uint8_t {
  kNotReady,
  kNoRoute,
  kNoServer,
  kOverloaded,
  kRetriesSpent,
  kTooLate,
  kLost,
  kTimedOut,
  kStopping,
  kHeldBack,
  kUnknownKey,
  kTableMayBeOld,
  kOverQuota,
  kQuotaOutOfReach,
  kCount,
};

/// What a client is told for a reason.
struct SteerRefusalRow {
  SteerRefusal m_reason;
  int m_status;
  /// The name in logs, metrics and answers.
  const char* m_name;
  /// What the status promises. 503 goes with kNotRun only.
  Verdict m_verdict;
};

/// The row of a reason.
const SteerRefusalRow& DescribeSteerRefusal(SteerRefusal reason);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_
