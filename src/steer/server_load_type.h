/// @file server_load_type.h A server's load report as shared by entry VMs.

#ifndef SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_
#define SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/attempt_report_type.h"

namespace sorrelplank {

/// A server's last load report.
struct ServerLoad {
  /// Hash of the server's instance name.
  NameHash m_server;
  ReportedLoad m_load;
  /// Time since the report was received.
  Duration m_age{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_LOAD_TYPE_H_
