/// @file peer_fields_func.h Header fields of requests that entry VMs pass on to
/// each other.

#ifndef SORRELPLANK_PROXY_PEER_FIELDS_FUNC_H_
#define SORRELPLANK_PROXY_PEER_FIELDS_FUNC_H_

#include <string>

#include "steer/passed_on_terms_type.h"
#include "steer/peer_report_type.h"

namespace sorrelplank {

struct HttpRequest;
struct ServerReply;

/// Name of the refusal, in the response of a VM that refused a request.
inline constexpr const char* kPeerRefusalField = "sorrelplank-peer-refusal";

/// Whether only entry VMs send the field to each other.
bool IsPeerField(const std::string& name);

/// The fields that state the terms of a request, as lines of a request head.
std::string FormatPassedOnTerms(const PassedOnTerms& terms);

/// Reads the terms of a request. A missing or malformed number is read as the
/// strictest: no table is new enough, or one backend server.
PassedOnTerms ParsePassedOnTerms(const HttpRequest& request);

/// What the response of another entry VM says about a request passed on to it.
PeerReport ClassifyPeerReply(const ServerReply& reply);

/// Name of how a send to another entry VM ended, for logs and metrics. A
/// response that exceeded a limit has a name of its own; it counts as lost.
const char* PeerSendEndName(const ServerReply& reply, const PeerReport& report);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PEER_FIELDS_FUNC_H_
