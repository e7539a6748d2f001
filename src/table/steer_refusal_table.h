/// @file steer_refusal_table.h Status and verdict of each refusal.

#ifndef SORRELPLANK_TABLE_STEER_REFUSAL_TABLE_H_
#define SORRELPLANK_TABLE_STEER_REFUSAL_TABLE_H_

#include <array>
#include <cstddef>

#include "steer/steer_refusal_type.h"

namespace sorrelplank {

inline constexpr std::array<SteerRefusalRow,
                            static_cast<std::size_t>(SteerRefusal::kCount)>
    kSteerRefusalTable{{
        {SteerRefusal::kNotReady, 503, "not_ready", Verdict::kNotRun},
        {SteerRefusal::kNoRoute, 404, "no_route", Verdict::kNotRun},
        {SteerRefusal::kNoServer, 503, "no_server", Verdict::kNotRun},
        {SteerRefusal::kOverloaded, 503, "overloaded", Verdict::kNotRun},
        {SteerRefusal::kRetriesSpent, 503, "retries_spent", Verdict::kNotRun},
        {SteerRefusal::kTooLate, 503, "too_late", Verdict::kNotRun},
        {SteerRefusal::kLost, 502, "lost", Verdict::kMayHaveRun},
        {SteerRefusal::kTimedOut, 504, "timed_out", Verdict::kMayHaveRun},
        {SteerRefusal::kStopping, 503, "stopping", Verdict::kNotRun},
        {SteerRefusal::kHeldBack, 503, "held_back", Verdict::kNotRun},
        {SteerRefusal::kUnknownKey, 401, "unknown_key", Verdict::kNotRun},
        {SteerRefusal::kTableMayBeOld, 503, "table_may_be_old",
         Verdict::kNotRun},
        {SteerRefusal::kOverQuota, 429, "over_quota", Verdict::kNotRun},
        {SteerRefusal::kQuotaOutOfReach, 503, "quota_out_of_reach",
         Verdict::kNotRun},
        {SteerRefusal::kCannotFinish, 503, "cannot_finish", Verdict::kNotRun},
        {SteerRefusal::kNoMemory, 503, "no_memory", Verdict::kNotRun},
    }};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_STEER_REFUSAL_TABLE_H_
