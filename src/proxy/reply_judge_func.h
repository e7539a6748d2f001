/// @file reply_judge_func.h Decides what a server's reply proves.

#ifndef SORRELPLANK_PROXY_REPLY_JUDGE_FUNC_H_
#define SORRELPLANK_PROXY_REPLY_JUDGE_FUNC_H_

#include <string>

#include "steer/attempt_report_type.h"

namespace sorrelplank {

struct ProxyNames;
struct ServerReply;

/// What the end of a send proves and tells of the server.
AttemptReport JudgeReply(const ServerReply& reply, const ProxyNames& names);

/// Reads "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,WORK_PERCENT".
/// Further whole numbers are ignored; nothing where the text is anything else.
std::optional<ReportedLoad> ParseLoad(const std::string& text);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REPLY_JUDGE_FUNC_H_
