/// @file reply_classifier_func.h Classification of a server's reply.

#ifndef SORRELPLANK_PROXY_REPLY_CLASSIFIER_FUNC_H_
#define SORRELPLANK_PROXY_REPLY_CLASSIFIER_FUNC_H_

#include <string>

#include "steer/attempt_report_type.h"

namespace sorrelplank {

enum class ReplyEnd : uint8_t;
struct ProxyHeaderNames;
struct ServerReply;

/// Determines from the end of a send whether the request ran, and collects the
/// load and notices that the server reported. Only a response of the server
/// itself proves that a request which was sent did not run.
AttemptReport ClassifyReply(const ServerReply& reply,
                            const ProxyHeaderNames& names);

/// Name of a send's end in logs and metrics. An oversized response, which
/// counts as lost, has a name of its own.
const char* SendEndName(ReplyEnd reply_end, AttemptEnd end);

/// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,WORK_PERCENT".
/// Further whole numbers are ignored; returns std::nullopt for any other text.
std::optional<ReportedLoad> ParseLoad(const std::string& text);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REPLY_CLASSIFIER_FUNC_H_
