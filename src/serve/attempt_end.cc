/// @file attempt_end.cc From transport results to outcomes.

#include "proto/peer.pb.h"
#include "serve/attempt_end_func.h"
#include "serve/call_headers_type.h"

namespace sorrelplank {

namespace {

std::string HeaderOf(const HttpResponse& response, const char* name) {
  for (const auto& [field, value] : response.m_headers) {
    if (field == name) {
      return value;
    }
  }
  return "";
}

}  // namespace

AttemptOutcome JudgeFetch(const HttpResult& result,
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
      return AttemptOutcome::kAnswerMalformed;
    case FetchOutcome::kTimedOut:
      return AttemptOutcome::kDeadlineAfterSend;
    case FetchOutcome::kAnswered:
      break;
  }
  // A backend server that names the request in its answer lets us catch one
  // that mixes answers up: without this a caller could read another's record.
  const std::string named = HeaderOf(result.m_response, kRequestIdHeader);
  if (!named.empty() && named != request_id) {
    return AttemptOutcome::kAnswerMalformed;
  }
  const bool was_shed = HeaderOf(result.m_response, kVerdictHeader) ==
                        VerdictName(Verdict::kNotRun);
  return was_shed ? AttemptOutcome::kShed : AttemptOutcome::kAnswered;
}

AttemptOutcome JudgeHandOn(PeerOutcome end,
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
