/// @file server_notice_func.h Reads what a backend server asks of its callers.

#ifndef SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_
#define SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_

#include "steer/server_notice_type.h"

namespace sorrelplank {

struct HttpResponse;
struct ProxyNames;

/// Reads an answer of the server's own. A field that cannot be read asks for
/// nothing; of several of one name the strictest counts.
ServerNotice ReadServerNotice(const HttpResponse& answer,
                              const ProxyNames& names);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_NOTICE_FUNC_H_
