/// @file classify_attempt.cc Maps transport results to attempt outcomes.

#include "proto/peer.pb.h"
#include "serve/call_headers_type.h"
#include "serve/classify_attempt_func.h"

namespace sorrelplank {

namespace {

std::string HeaderValue(const HttpResponse& response, const char* name) {
  for (const auto& [field, value] : response.m_headers) {
    if (field == name) {
      return value;
    }
  }
  return "";
}

}  // namespace

AttemptOutcome ClassifyFetch(const HttpResult& result,
                             const std::string& request_id) {
  switch (result.m_end) {
    case FetchOutcome::kConnectFailed:
      return AttemptOutcome::kConnectFailed;
    case FetchOutcome::kNothingSent:
      return AttemptOutcome::kNothingSent;
    case FetchOutcome::kSentPartly:
      return AttemptOutcome::kSentPartly;
    case FetchOutcome::kNoAnswer:
      return AttemptOutcome::kNoAnswer;
    case FetchOutcome::kTruncated:
      return AttemptOutcome::kAnswerTruncated;
    case FetchOutcome::kMalformed:
    case FetchOutcome::kTooLarge:
      return AttemptOutcome::kAnswerMalformed;
    case FetchOutcome::kTimedOut:
      return AttemptOutcome::kDeadlineAfterSend;
    case FetchOutcome::kAnswered:
      break;
  }
  // If the response carries a request id, it must be that of this request.
  // Otherwise a backend server that mixes up responses could send a caller
  // the record of another one.
  const std::string named = HeaderValue(result.m_response, kRequestIdHeader);
  if (!named.empty() && named != request_id) {
    return AttemptOutcome::kAnswerMalformed;
  }
  const bool was_shed = HeaderValue(result.m_response, kVerdictHeader) ==
                        VerdictName(Verdict::kNotRun);
  return was_shed ? AttemptOutcome::kShed : AttemptOutcome::kAnswered;
}

AttemptOutcome ClassifyHandOn(PeerOutcome end,
                              const proto::HandOnReply& reply,
                              const std::string& request_id) {
  switch (end) {
    case PeerOutcome::kUnreachable:
      return AttemptOutcome::kPeerUnreachable;
    case PeerOutcome::kLost:
      return AttemptOutcome::kPeerLost;
    case PeerOutcome::kTimedOut:
      return AttemptOutcome::kDeadlineAfterSend;
    case PeerOutcome::kAnswered:
      break;
  }
  if (reply.request_id() != request_id) {
    return AttemptOutcome::kAnswerMalformed;
  }
  switch (static_cast<Verdict>(reply.verdict())) {
    case Verdict::kNotRun:
      return AttemptOutcome::kPeerRefused;
    case Verdict::kRan:
      return AttemptOutcome::kAnswered;
    default:
      return AttemptOutcome::kPeerUnsure;
  }
}

}  // namespace sorrelplank
