/// @file attempt_outcome_type.h Outcomes of one attempt of a request.

#ifndef SORRELPLANK_CORE_ATTEMPT_OUTCOME_TYPE_H_
#define SORRELPLANK_CORE_ATTEMPT_OUTCOME_TYPE_H_

#include <cstdint>

#include "core/verdict_type.h"

namespace sorrelplank {

/// Every way in which an attempt at a backend server or another entry VM (peer)
/// can end. In the order of table/outcome_table.h.
enum class AttemptOutcome : uint8_t {
  kAnswered,             ///< The backend server sent a complete answer.
  kShed,                 ///< The backend server refused before running it.
  kConnectFailed,        ///< No connection, so no byte was sent.
  kNothingSent,          ///< Connected, but failed before the first byte.
  kSentPartly,           ///< The connection broke while sending.
  kNoAnswer,             ///< Sent; the connection ended without an answer.
  kAnswerTruncated,      ///< The connection ended in the middle of the answer.
  kAnswerMalformed,      ///< The bytes received are not a valid answer.
  kDeadlineBeforeSend,   ///< The deadline passed before the first byte.
  kDeadlineAfterSend,    ///< The deadline passed while waiting for an answer.
  kCancelledBeforeSend,  ///< The caller disconnected before the first byte.
  kCancelledAfterSend,   ///< The caller disconnected while we waited.
  kPeerRefused,          ///< The peer refused; the request did not run.
  kPeerUnsure,           ///< The peer reported that it may have run.
  kPeerUnreachable,      ///< No connection to the peer, so nothing was sent.
  kPeerLost,             ///< Sent to the peer; then the connection was lost.
  kCount
};

/// One row of the outcome table: what an outcome implies for the request.
struct OutcomeRow {
  AttemptOutcome m_outcome;
  Verdict m_verdict;
  /// Whether it counts as a failure in the health of the backend server or
  /// peer.
  bool m_is_failure;
  const char* m_name;
};

/// Returns the row of an outcome.
const OutcomeRow& DescribeOutcome(AttemptOutcome outcome);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_ATTEMPT_OUTCOME_TYPE_H_
