/// @file fault_proxy.cc Listener and accepted connections of the proxy.

#include "soak/fault_proxy.h"

#include <utility>

#include "platform/wire_names.h"
#include "soak/proxy_link.h"

namespace sorrelplank::soak {

FaultProxy::FaultProxy(asio::io_context& io, const ProxyEndpoints& endpoints)
    : m_io(io), m_endpoints(endpoints), m_acceptor(io) {
  Listen();
}

void FaultProxy::Listen() {
  if (m_acceptor.is_open()) {
    return;
  }
  m_acceptor.open(m_endpoints.m_listen.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(m_endpoints.m_listen);
  m_acceptor.listen();
  Accept();
}

void FaultProxy::StopListening() {
  std::error_code ignored;
  m_acceptor.close(ignored);
}

FaultProxy::~FaultProxy() {
  StopListening();
  ResetAll();
}

void FaultProxy::ResetAll() {
  const auto links = m_links;
  for (const auto& link : links) {
    link->Reset();
  }
}

void FaultProxy::NoteRequest(const std::string& bytes,
                             const std::shared_ptr<ProxyLink>& link) {
  const std::string field =
      "\r\n" + platform::HeaderNames().m_request_id + ": ";
  const size_t at = bytes.find(field);
  if (at == std::string::npos) {
    return;
  }
  const size_t begin = at + field.size();
  m_links_by_request[bytes.substr(begin, bytes.find("\r\n", begin) - begin)] =
      link;
}

std::string FaultProxy::SenderOf(const std::string& request_id,
                                 const OwnerFinder& find) {
  const auto it = m_links_by_request.find(request_id);
  const auto link =
      it == m_links_by_request.end() ? nullptr : it->second.lock();
  return link == nullptr ? "" : link->FindOwner(find);
}

void FaultProxy::ResetCut() {
  const auto links = m_links;
  for (const auto& link : links) {
    if (link->IsCut()) {
      link->Reset();
    }
  }
}

void FaultProxy::Accept() {
  m_acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        auto link = std::make_shared<ProxyLink>(*this, std::move(socket));
        m_links.insert(link);
        link->Start();
        Accept();
      });
}

}  // namespace sorrelplank::soak
