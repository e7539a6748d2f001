/// @file error_response_func.h Error responses.

#ifndef SORRELPLANK_SERVE_ERROR_RESPONSE_FUNC_H_
#define SORRELPLANK_SERVE_ERROR_RESPONSE_FUNC_H_

#include <string>

#include "net/http_message_type.h"

namespace sorrelplank {

/// Makes a response with the body {"error":ERROR,"help":HELP}; an empty help is
/// left out.
HttpResponse MakeError(int status,
                       const std::string& error,
                       const std::string& help = "");

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_ERROR_RESPONSE_FUNC_H_
