/// @file server_change_type.h Effect of a service discovery entry.

#ifndef SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_
#define SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// Effect of applying a backend server's entry.
enum class ServerChange : uint8_t {
  kAdded,
  kUpdated,        ///< Another entry of the known run.
  kRestarted,      ///< A new run under a known id.
  kOlderRun,       ///< From a run before the known one; ignored.
  kUnknownDomain,  ///< The failure domain is not configured; not used.
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_CHANGE_TYPE_H_
