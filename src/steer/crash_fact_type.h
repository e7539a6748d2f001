/// @file crash_fact_type.h A request was under way at a server when it ended.

#ifndef SORRELPLANK_STEER_CRASH_FACT_TYPE_H_
#define SORRELPLANK_STEER_CRASH_FACT_TYPE_H_

#include <compare>
#include <cstdint>
#include <string>

#include "core/request_digest_type.h"

namespace sorrelplank {

/// One run of a backend server ended while it had the request. Known to several
/// entry VMs, it is still one fact.
struct CrashFact {
  RequestDigest m_digest;
  /// Names the run: RunName of its entry.
  std::string m_run;

  auto operator<=>(const CrashFact&) const = default;
};

/// A fact with what people need to know of the request.
struct CrashReport {
  CrashFact m_fact;
  std::string m_service;
  std::string m_host;
  std::string m_path;
};

/// Whether connections to a server could be opened just after it had closed
/// one without an answer.
enum class ServerReach : uint8_t {
  kOpens,    ///< The server goes on: an answer was lost.
  kRefuses,  ///< Nothing listens any more: the run has ended.
  kUnknown,  ///< No answer within the time limit.
};

/// The name in logs.
inline const char* ServerReachName(ServerReach reach) {
  switch (reach) {
    case ServerReach::kOpens:
      return "opens";
    case ServerReach::kRefuses:
      return "refuses";
    case ServerReach::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CRASH_FACT_TYPE_H_
