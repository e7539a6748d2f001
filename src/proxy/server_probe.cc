/// @file server_probe.cc TCP connection check.

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
    : m_socket(io), m_timeout_timer(io), m_handler(std::move(handler)) {}

void ServerProbe::Start(VmAddress address, Duration timeout, Duration hold) {
  m_timeout_timer.expires_after(timeout);
  m_timeout_timer.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error) {
          self->Finish(ServerReach::kUnknown);
        }
      });
  m_socket.async_connect(
      {asio::ip::address_v4(address.m_ip), address.m_port},
      [self = shared_from_this(), hold](std::error_code error) {
        if (!error && hold > Duration::zero()) {
          self->Watch(hold);
        } else {
          self->Finish(ReachOf(error));
        }
      });
}

void ServerProbe::Watch(Duration hold) {
  m_timeout_timer.expires_after(hold);
  m_timeout_timer.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error) {
          self->Finish(ServerReach::kAcceptsConnections);
        }
      });
  m_socket.async_read_some(
      asio::buffer(&m_byte, 1),
      [self = shared_from_this()](std::error_code error, size_t) {
        self->Finish(error ? ServerReach::kUnknown
                           : ServerReach::kAcceptsConnections);
      });
}

void ServerProbe::Finish(ServerReach reach) {
  // A connection attempt that is aborted by the timeout completes with an error
  // as well.
  if (m_is_done) {
    return;
  }
  m_is_done = true;
  m_timeout_timer.cancel();
  std::error_code ignored;
  // An error on close cannot be handled here.
  m_socket.close(ignored);
  m_handler(reach);
}

}  // namespace sorrelplank
