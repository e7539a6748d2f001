/// @file server_probe.cc One connection.

#include "proxy/server_probe.h"

#include <utility>

namespace sorrelplank {

namespace {

ServerReach ReachOf(std::error_code error) {
  if (!error) {
    return ServerReach::kAcceptsConnections;
  }
  return error == asio::error::connection_refused
             ? ServerReach::kRefusesConnections
             : ServerReach::kUnknown;
}

}  // namespace

ServerProbe::ServerProbe(asio::io_context& io, Handler handler)
    : m_socket(io), m_limit(io), m_handler(std::move(handler)) {}

void ServerProbe::Start(VmAddress address, Duration limit) {
  m_limit.expires_after(limit);
  m_limit.async_wait([self = shared_from_this()](std::error_code error) {
    if (!error) {
      self->Finish(ServerReach::kUnknown);
    }
  });
  m_socket.async_connect({asio::ip::address_v4(address.m_ip), address.m_port},
                         [self = shared_from_this()](std::error_code error) {
                           self->Finish(ReachOf(error));
                         });
}

void ServerProbe::Finish(ServerReach reach) {
  // A connection that is given up ends with an error as well.
  if (m_is_done) {
    return;
  }
  m_is_done = true;
  m_limit.cancel();
  std::error_code ignored;
  // There is nothing to do about a close that fails.
  m_socket.close(ignored);
  m_handler(reach);
}

}  // namespace sorrelplank
