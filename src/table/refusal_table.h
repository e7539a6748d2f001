/// @file refusal_table.h HTTP status, name and description of each refusal.

#ifndef SORRELPLANK_TABLE_REFUSAL_TABLE_H_
#define SORRELPLANK_TABLE_REFUSAL_TABLE_H_

#include <array>
#include <cstddef>

#include "core/refusal_type.h"

namespace sorrelplank {

inline constexpr std::array<RefusalRow,
                            static_cast<std::size_t>(RefusalReason::kCount)>
    kRefusalTable{{
        {RefusalReason::kUnknownService, 404, "unknown_service",
         "no such service in the configuration in force"},
        {RefusalReason::kBodyTooLarge, 413, "body_too_large",
         "the body exceeds the service's limit"},
        {RefusalReason::kNotReady, 503, "not_ready",
         "this entry VM has no configuration yet"},
        {RefusalReason::kNoCapacity, 503, "no_capacity",
         "no slot is free where the request may go, and the queue is full"},
        {RefusalReason::kDeadlineTooShort, 503, "deadline_too_short",
         "the request would not be answered before its deadline"},
        {RefusalReason::kDeadlinePassed, 504, "deadline_passed",
         "the deadline passed"},
        {RefusalReason::kBackendFailed, 502, "backend_failed",
         "tries failed and no further one is allowed"},
        {RefusalReason::kRepeatInProgress, 409, "repeat_in_progress",
         "a request with this key is being worked on"},
        {RefusalReason::kRepeatUnsure, 409, "repeat_unsure",
         "an earlier request with this key may have run"},
        {RefusalReason::kRepeatAnswerGone, 409, "repeat_answer_gone",
         "the request ran; its answer is no longer kept"},
        {RefusalReason::kSuperseded, 409, "superseded",
         "a repeat of this request was taken elsewhere"},
        {RefusalReason::kCallerLeft, 499, "caller_left",
         "the caller closed the connection"},
        {RefusalReason::kStopping, 503, "stopping",
         "this entry VM is about to exit"},
    }};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_REFUSAL_TABLE_H_
