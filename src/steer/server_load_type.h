/// @file server_load_type.h A server's load as one entry VM tells others.

#ifndef SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_
#define SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/attempt_report_type.h"

namespace sorrelplank {

/// The last report of a server, and how old it is.
struct ServerLoad {
  /// Of the server's instance.
  NameHash m_server;
  ReportedLoad m_load;
  Duration m_age{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_
