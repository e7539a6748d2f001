/// @file outcome_table.h Verdict implied by each attempt outcome.

#ifndef SORRELPLANK_TABLE_OUTCOME_TABLE_H_
#define SORRELPLANK_TABLE_OUTCOME_TABLE_H_

#include <array>
#include <cstddef>

#include "core/attempt_outcome_type.h"

namespace sorrelplank {

// A request counts as not run only if none of its bytes left this process or if
// the other side reported so itself. After the first byte it may have run: a
// backend server can act on a request and die before it answers.
inline constexpr std::array<OutcomeRow,
                            static_cast<std::size_t>(AttemptOutcome::kCount)>
    kOutcomeTable{{
        {AttemptOutcome::kAnswered, Verdict::kRan, false, "answered"},
        {AttemptOutcome::kShed, Verdict::kNotRun, false, "shed"},
        {AttemptOutcome::kConnectFailed, Verdict::kNotRun, true,
         "connect_failed"},
        {AttemptOutcome::kNothingSent, Verdict::kNotRun, true, "nothing_sent"},
        {AttemptOutcome::kSentPartly, Verdict::kMayHaveRun, true,
         "sent_partly"},
        {AttemptOutcome::kNoAnswer, Verdict::kMayHaveRun, true, "no_answer"},
        {AttemptOutcome::kAnswerTruncated, Verdict::kMayHaveRun, true,
         "answer_truncated"},
        {AttemptOutcome::kAnswerMalformed, Verdict::kMayHaveRun, true,
         "answer_malformed"},
        {AttemptOutcome::kDeadlineBeforeSend, Verdict::kNotRun, true,
         "deadline_before_send"},
        {AttemptOutcome::kDeadlineAfterSend, Verdict::kMayHaveRun, true,
         "deadline_after_send"},
        {AttemptOutcome::kCancelledBeforeSend, Verdict::kNotRun, false,
         "cancelled_before_send"},
        {AttemptOutcome::kCancelledAfterSend, Verdict::kMayHaveRun, false,
         "cancelled_after_send"},
        {AttemptOutcome::kPeerRefused, Verdict::kNotRun, false, "peer_refused"},
        {AttemptOutcome::kPeerUnsure, Verdict::kMayHaveRun, false,
         "peer_unsure"},
        {AttemptOutcome::kPeerUnreachable, Verdict::kNotRun, true,
         "peer_unreachable"},
        {AttemptOutcome::kPeerLost, Verdict::kMayHaveRun, true, "peer_lost"},
    }};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_OUTCOME_TABLE_H_
