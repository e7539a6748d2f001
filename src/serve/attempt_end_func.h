/// @file attempt_end_func.h What the transports' results say of a try.

#ifndef SORRELPLANK_SERVE_ATTEMPT_END_FUNC_H_
#define SORRELPLANK_SERVE_ATTEMPT_END_FUNC_H_

#include <string>

#include "core/attempt_outcome_type.h"
#include "net/http_message_type.h"
#include "net/peer_client.h"

namespace sorrelplank {

/// The outcome of a try at a backend server.
AttemptOutcome JudgeFetch(const HttpResult& result,
                          const std::string& request_id);

/// The outcome of a try at another entry VM.
AttemptOutcome JudgeHandOn(PeerOutcome end,
                           const proto::HandOnReply& reply,
                           const std::string& request_id);

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_ATTEMPT_END_FUNC_H_
