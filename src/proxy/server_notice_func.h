/// @file server_notice_func.h Parser for notices of backend servers.

#ifndef SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_
#define SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_

#include "steer/server_notice_type.h"

namespace sorrelplank {

struct HttpResponse;
struct ProxyHeaderNames;

/// Parses rate limit, leaving flag and pause from a response that the server
/// itself produced. A malformed field is ignored apart from marking the notice;
/// of repeated fields the strictest one applies.
ServerNotice ParseServerNotice(const HttpResponse& answer,
                               const ProxyHeaderNames& names);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_
