/// @file server_change_type.h What an entry of service discovery changed.

#ifndef SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_
#define SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// Outcome of taking an entry of a backend server.
enum class ServerChange : uint8_t {
  kAdded,
  kUpdated,        ///< The run that was known, with other fields.
  kRestarted,      ///< Another run under the id that was known.
  kOlderRun,       ///< Of a run before the known one; ignored.
  kUnknownDomain,  ///< In a failure domain that is not configured; not used.
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_
