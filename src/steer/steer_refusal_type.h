/// @file steer_refusal_type.h Reasons for refusing a request.

#ifndef SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_
#define SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/verdict_type.h"

namespace sorrelplank {

/// Why a request gets no backend server's response; rows are in
/// table/steer_refusal_table.h.
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
  kCannotFinish,
  kNoMemory,
  kCount,
};

/// The response to a client for a reason.
struct SteerRefusalRow {
  SteerRefusal m_reason;
  int m_status;
  /// Name in logs, metrics and responses.
  const char* m_name;
  /// Whether the request may have run. Status 503 requires kNotRun.
  Verdict m_verdict;
};

/// The reason of this name, if there is one.
std::optional<SteerRefusal> FindSteerRefusal(std::string_view name);

/// The row of a reason.
const SteerRefusalRow& DescribeSteerRefusal(SteerRefusal reason);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEER_REFUSAL_TYPE_H_
