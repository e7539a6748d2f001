/// @file proxy_link.cc Bytes both ways, with faults.

#include "soak/proxy_link.h"

#include <utility>

#include "soak/fault_proxy.h"

namespace sorrelplank::soak {

namespace {

void ResetSocket(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  // Closing with a linger of zero sends a reset instead of an end.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

ProxyLink::ProxyLink(FaultProxy& proxy, asio::ip::tcp::socket caller)
    : m_proxy(proxy), m_caller(std::move(caller)), m_target(proxy.m_io) {}

void ProxyLink::Start() {
  if (m_proxy.m_fault == LinkFault::kRefuse) {
    Reset();
    return;
  }
  m_target.async_connect(m_proxy.m_ends.m_target,
                         [self = shared_from_this()](std::error_code error) {
                           if (error) {
                             self->Reset();
                             return;
                           }
                           self->Read(self->m_forward);
                           self->Read(self->m_backward);
                         });
}

void ProxyLink::Read(Way& way) {
  way.m_from.async_read_some(
      asio::buffer(way.m_buffer),
      [self = shared_from_this(), &way](std::error_code error, size_t bytes) {
        if (error) {
          self->End();
          return;
        }
        self->PassOn(way, bytes);
      });
}

void ProxyLink::PassOn(Way& way, size_t bytes) {
  const LinkFault fault = m_proxy.m_fault;
  if (fault == LinkFault::kSilent ||
      (fault == LinkFault::kSilentBackward && way.m_is_backward)) {
    Read(way);
    return;
  }
  std::string copy(way.m_buffer.data(), bytes);
  if (m_proxy.m_delay == Duration::zero()) {
    Write(way, std::move(copy));
    return;
  }
  auto timer =
      std::make_shared<asio::steady_timer>(m_proxy.m_io, m_proxy.m_delay);
  timer->async_wait([self = shared_from_this(), timer, &way,
                     copy = std::move(copy)](std::error_code) mutable {
    self->Write(way, std::move(copy));
  });
}

void ProxyLink::Write(Way& way, std::string bytes) {
  auto kept = std::make_shared<std::string>(std::move(bytes));
  asio::async_write(
      way.m_to, asio::buffer(*kept),
      [self = shared_from_this(), kept, &way](std::error_code error, size_t) {
        if (error) {
          self->End();
          return;
        }
        self->Read(way);
      });
}

void ProxyLink::End() {
  if (std::exchange(m_is_ended, true)) {
    return;
  }
  std::error_code ignored;
  m_caller.close(ignored);
  m_target.close(ignored);
  m_proxy.m_links.erase(shared_from_this());
}

void ProxyLink::Reset() {
  ResetSocket(m_caller);
  ResetSocket(m_target);
  End();
}

}  // namespace sorrelplank::soak
