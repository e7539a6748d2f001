/// @file classify_attempt_func.h Classifies transport results of attempts.

#ifndef SORRELPLANK_SERVE_CLASSIFY_ATTEMPT_FUNC_H_
#define SORRELPLANK_SERVE_CLASSIFY_ATTEMPT_FUNC_H_

#include <string>

#include "core/attempt_outcome_type.h"
#include "net/http_message_type.h"
#include "net/peer_client.h"

namespace sorrelplank {

/// Returns the outcome of an attempt at a backend server.
AttemptOutcome ClassifyFetch(const HttpResult& result,
                             const std::string& request_id);

/// Returns the outcome of an attempt that was forwarded to another entry VM.
AttemptOutcome ClassifyHandOn(PeerOutcome end,
                              const proto::HandOnReply& reply,
                              const std::string& request_id);

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CLASSIFY_ATTEMPT_FUNC_H_
