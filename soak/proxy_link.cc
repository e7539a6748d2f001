/// @file proxy_link.cc Forwards data in both directions and applies faults.

#include "soak/proxy_link.h"

#include <utility>

namespace sorrelplank::soak {

namespace {

constexpr size_t kEndlessBlockBytes = size_t{64} * 1024;

void ResetSocket(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  // Closing with a linger time of zero sends RST instead of FIN.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

ProxyLink::ProxyLink(FaultProxy& proxy, asio::ip::tcp::socket caller)
    : m_proxy(proxy), m_caller(std::move(caller)), m_target(proxy.m_io) {}

void ProxyLink::Start() {
  if (m_proxy.m_fault == LinkFault::kRefuse || IsCut()) {
    Reset();
    return;
  }
  m_target.async_connect(m_proxy.m_endpoints.m_target,
                         [self = shared_from_this()](std::error_code error) {
                           if (error) {
                             self->Reset();
                             return;
                           }
                           self->Read(self->m_forward);
                           self->Read(self->m_backward);
                         });
}

bool ProxyLink::IsCut() const {
  if (!m_proxy.m_is_cut) {
    return false;
  }
  std::error_code error;
  const auto caller = m_caller.remote_endpoint(error);
  return !error && m_proxy.m_is_cut(caller, m_caller.local_endpoint());
}

std::string ProxyLink::FindOwner(const FaultProxy::OwnerFinder& find) {
  std::error_code error;
  const auto caller = m_caller.remote_endpoint(error);
  if (m_owner.empty() && !error) {
    m_owner = find(caller, m_caller.local_endpoint());
  }
  return m_owner;
}

void ProxyLink::Read(Direction& direction) {
  direction.m_from.async_read_some(asio::buffer(direction.m_buffer),
                                   [self = shared_from_this(), &direction](
                                       std::error_code error, size_t bytes) {
                                     if (error) {
                                       self->Close();
                                       return;
                                     }
                                     self->Forward(direction, bytes);
                                   });
}

void ProxyLink::Forward(Direction& direction, size_t bytes) {
  const LinkFault fault = m_proxy.m_fault;
  if (fault == LinkFault::kDropAll ||
      (fault == LinkFault::kDropResponses && direction.m_is_response)) {
    Read(direction);
    return;
  }
  std::string copy(direction.m_buffer.data(), bytes);
  if (fault == LinkFault::kSendEndlessly && direction.m_is_response) {
    SendEndlessly(direction, std::move(copy));
    return;
  }
  if (!direction.m_is_response) {
    m_proxy.NoteRequest(copy, shared_from_this());
  }
  if (m_proxy.m_delay == Duration::zero()) {
    Write(direction, std::move(copy));
    return;
  }
  auto timer =
      std::make_shared<asio::steady_timer>(m_proxy.m_io, m_proxy.m_delay);
  timer->async_wait([self = shared_from_this(), timer, &direction,
                     copy = std::move(copy)](std::error_code) mutable {
    self->Write(direction, std::move(copy));
  });
}

void ProxyLink::Write(Direction& direction, std::string bytes) {
  auto payload = std::make_shared<std::string>(std::move(bytes));
  asio::async_write(direction.m_to, asio::buffer(*payload),
                    [self = shared_from_this(), payload, &direction](
                        std::error_code error, size_t) {
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Read(direction);
                    });
}

void ProxyLink::SendEndlessly(Direction& direction, std::string response) {
  std::string unit = m_proxy.m_endless_unit;
  if (unit.empty()) {
    // Without a length, a response ends with its connection.
    const size_t length = response.find("Content-Length");
    if (length != std::string::npos) {
      response[length] = 'X';
    }
    unit = "abcdefgh";
  } else {
    response.clear();
  }
  auto block = std::make_shared<std::string>();
  while (block->size() < kEndlessBlockBytes) {
    *block += unit;
  }
  Repeat(direction, std::make_shared<std::string>(std::move(response)), block);
}

void ProxyLink::Repeat(Direction& direction,
                       const std::shared_ptr<std::string>& begin,
                       const std::shared_ptr<std::string>& block) {
  asio::async_write(direction.m_to, asio::buffer(*begin),
                    [self = shared_from_this(), &direction, begin, block](
                        std::error_code error, size_t) {
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Repeat(direction, block, block);
                    });
}

void ProxyLink::Close() {
  if (std::exchange(m_is_closed, true)) {
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
  Close();
}

}  // namespace sorrelplank::soak
