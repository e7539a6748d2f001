/// @file peer_convert_func.h Conversion between records and wire messages.

#ifndef SORRELPLANK_NET_PEER_CONVERT_FUNC_H_
#define SORRELPLANK_NET_PEER_CONVERT_FUNC_H_

#include <optional>

#include "core/vm_record_type.h"

namespace sorrelplank {

namespace proto {
class ServiceSlots;
class VmRecord;
}  // namespace proto

/// Version of the peer protocol; messages with another version are refused.
inline constexpr uint32_t kPeerProtocol = 1;

void ToProto(const VmRecord& record, proto::VmRecord& out);
void ToProto(const ServiceSlots& slots, proto::ServiceSlots& out);

/// Returns nothing if the message is invalid.
std::optional<VmRecord> FromProto(const proto::VmRecord& message);
ServiceSlots FromProto(const proto::ServiceSlots& message);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_PEER_CONVERT_FUNC_H_
