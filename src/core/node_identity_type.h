/// @file node_identity_type.h Identity of an entry VM.

#ifndef SORRELPLANK_CORE_NODE_IDENTITY_TYPE_H_
#define SORRELPLANK_CORE_NODE_IDENTITY_TYPE_H_

#include <cstdint>
#include <string>

#include "core/vm_record_type.h"

namespace sorrelplank {

/// Values from the settings, and the incarnation chosen at start.
struct NodeIdentity {
  VmName m_name;
  NameHash m_place;
  VmAddress m_address;
  uint16_t m_caller_port = 0;
  Incarnation m_incarnation;
  /// Seed of all random choices of this process.
  uint64_t m_seed = 0;
};

/// Returns "NAME.INCARNATION.NUMBER", the request id that callers and backend
/// servers see and by which the timeline is searched.
std::string FormatRequestId(const NodeIdentity& identity, RequestId request);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_NODE_IDENTITY_TYPE_H_
