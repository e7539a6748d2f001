/// @file peer_report_type.h What one entry VM tells others by datagram.

#ifndef SORRELPLANK_PROXY_PEER_REPORT_TYPE_H_
#define SORRELPLANK_PROXY_PEER_REPORT_TYPE_H_

#include <vector>

#include "steer/server_load_type.h"
#include "steer/told_objects_type.h"

namespace sorrelplank {

/// Loads of servers, and objects of services now and then.
struct PeerReport {
  std::vector<ServerLoad> m_loads;
  std::vector<ToldObjects> m_objects;

  bool IsEmpty() const { return m_loads.empty() && m_objects.empty(); }
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PEER_REPORT_TYPE_H_
