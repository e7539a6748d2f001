/// @file peer_convert.cc Conversion and validation of peer messages.

#include "net/peer_convert_func.h"
#include "proto/peer.pb.h"

namespace sorrelplank {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr uint32_t kMaxPort = 65535;

}  // namespace

void ToProto(const ServiceSlots& slots, proto::ServiceSlots& out) {
  out.set_service(slots.m_service.Get());
  out.set_held(slots.m_held);
  out.set_free(slots.m_free);
}

ServiceSlots FromProto(const proto::ServiceSlots& message) {
  return {NameHash(message.service()), message.held(), message.free()};
}

void ToProto(const VmRecord& record, proto::VmRecord& out) {
  out.set_name(record.m_name);
  out.set_place(record.m_place.Get());
  out.set_ip(record.m_address.m_ip);
  out.set_peer_port(record.m_address.m_port);
  out.set_caller_port(record.m_caller_port);
  out.set_incarnation(record.m_incarnation.Get());
  out.set_sequence(record.m_sequence);
  out.set_leaving(record.m_leaving);
  out.set_ready(record.m_ready);
  out.set_config_version(record.m_config_version.Get());
  for (const ServiceSlots& slots : record.m_slots) {
    ToProto(slots, *out.add_slots());
  }
  for (const NameHash backend : record.m_holdings) {
    out.add_holdings(backend.Get());
  }
  for (const HeardHeartbeat& heard : record.m_heard) {
    proto::HeardHeartbeat& item = *out.add_heard();
    item.set_name(heard.m_name);
    item.set_incarnation(heard.m_incarnation.Get());
    item.set_sequence(heard.m_sequence);
    item.set_ip(heard.m_address.m_ip);
    item.set_peer_port(heard.m_address.m_port);
  }
}

std::optional<VmRecord> FromProto(const proto::VmRecord& message) {
  const bool is_valid =
      !message.name().empty() && message.name().size() <= kMaxNameLength &&
      message.ip() != 0 && message.peer_port() != 0 &&
      message.peer_port() <= kMaxPort && message.caller_port() <= kMaxPort &&
      message.incarnation() != 0;
  if (!is_valid) {
    return std::nullopt;
  }
  VmRecord record;
  record.m_name = message.name();
  record.m_place = NameHash(message.place());
  record.m_address = {message.ip(), static_cast<uint16_t>(message.peer_port())};
  record.m_caller_port = static_cast<uint16_t>(message.caller_port());
  record.m_incarnation = Incarnation(message.incarnation());
  record.m_sequence = message.sequence();
  record.m_leaving = message.leaving();
  record.m_ready = message.ready();
  record.m_config_version = ConfigVersion(message.config_version());
  for (const proto::ServiceSlots& slots : message.slots()) {
    record.m_slots.push_back(FromProto(slots));
  }
  for (const uint32_t backend : message.holdings()) {
    record.m_holdings.push_back(NameHash(backend));
  }
  for (const proto::HeardHeartbeat& item : message.heard()) {
    record.m_heard.push_back(
        {item.name(),
         Incarnation(item.incarnation()),
         item.sequence(),
         {item.ip(), static_cast<uint16_t>(item.peer_port())}});
  }
  return record;
}

}  // namespace sorrelplank
