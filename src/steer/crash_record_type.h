/// @file crash_record_type.h Records of server crashes during a request.

#ifndef SORRELPLANK_STEER_CRASH_RECORD_TYPE_H_
#define SORRELPLANK_STEER_CRASH_RECORD_TYPE_H_

#include <compare>
#include <cstdint>
#include <string>

#include "core/request_digest_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// A run of a backend server ended while it had the request. Reports of the
/// same crash by several entry VMs compare equal.
struct CrashRecord {
  RequestDigest m_digest;
  /// RunName() of the server's entry.
  std::string m_run;

  auto operator<=>(const CrashRecord&) const = default;
};

/// What an entry VM saw of a crash.
struct CrashSighting {
  /// Time since the server lost the request.
  Duration m_age{};
  /// How long the server had had the request by then.
  Duration m_under_way{};
  /// The VM that saw it; empty for this one.
  std::string m_observer;
};

/// A crash with a description of the request for operators.
struct CrashReport {
  CrashRecord m_record;
  CrashSighting m_sighting;
  std::string m_service;
  std::string m_host;
  std::string m_path;
};

/// Result of connecting to a server that has just closed a connection without a
/// response.
enum class ServerReach : uint8_t {
  kAcceptsConnections,  ///< The server still runs; only a response was lost.
  kRefusesConnections,  ///< Nothing listens: the run has ended.
  kUnknown,             ///< The connection attempt timed out.
};

/// The name in logs.
inline const char* ServerReachName(ServerReach reach) {
  switch (reach) {
    case ServerReach::kAcceptsConnections:
      return "opens";
    case ServerReach::kRefusesConnections:
      return "refuses";
    case ServerReach::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CRASH_RECORD_TYPE_H_
