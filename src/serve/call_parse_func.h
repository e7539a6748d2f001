/// @file call_parse_func.h Parses a caller's HTTP request into a call.

#ifndef SORRELPLANK_SERVE_CALL_PARSE_FUNC_H_
#define SORRELPLANK_SERVE_CALL_PARSE_FUNC_H_

#include <string>
#include <variant>

#include "core/call_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

/// The parsed parts of a request to /v1/call/SERVICE/PATH.
struct ParsedCall {
  IncomingCall m_call;
  std::string m_service_name;
  /// Path and query of the request to the backend server.
  std::string m_backend_path;
  std::string m_key;
};

/// Why a request is malformed; the caller gets status 400.
struct MalformedCall {
  std::string m_problem;
};

std::variant<ParsedCall, MalformedCall> ParseCall(const HttpRequest& request);

/// Parses "none" or "NAME@INCARNATION,..."; returns false for other text.
bool ParseTried(const std::string& text, Tried& tried);

/// Formats as "NAME@INCARNATION".
std::string FormatVmId(const VmName& name, Incarnation incarnation);

/// Hashes service, key, method, path and body; never returns zero, which
/// stands for "no key".
KeyHash HashKey(const std::string& service,
                const std::string& key,
                const std::string& method,
                const std::string& path,
                const std::string& body);

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CALL_PARSE_FUNC_H_
