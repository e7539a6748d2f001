/// @file proxy_link.h One proxied connection of a FaultProxy.

#ifndef SORRELPLANK_SOAK_PROXY_LINK_H_
#define SORRELPLANK_SOAK_PROXY_LINK_H_

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>

#include "soak/fault_proxy.h"

namespace sorrelplank::soak {

/// The client's socket and the socket to the target.
class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
 public:
  ProxyLink(FaultProxy& proxy, asio::ip::tcp::socket caller);

  void Start();
  /// Whether the proxy's filter matches the caller's connection.
  bool IsCut() const;
  /// The process that holds the caller's end; looked up once.
  std::string FindOwner(const FaultProxy::OwnerFinder& find);
  /// Resets both connections.
  void Reset();

 private:
  /// State of one direction.
  struct Direction {
    asio::ip::tcp::socket& m_from;
    asio::ip::tcp::socket& m_to;
    bool m_is_response = false;
    std::array<char, 16384> m_buffer{};
  };

  void Read(Direction& direction);
  void Forward(Direction& direction, size_t bytes);
  void Write(Direction& direction, std::string bytes);
  /// Answers with bytes without end instead of the response that begins so.
  void SendEndlessly(Direction& direction, std::string response);
  /// Writes the beginning, then the block over and over until the caller
  /// closes.
  void Repeat(Direction& direction,
              const std::shared_ptr<std::string>& begin,
              const std::shared_ptr<std::string>& block);
  /// Closes both sockets, as one side closed its connection.
  void Close();

  FaultProxy& m_proxy;
  asio::ip::tcp::socket m_caller;
  asio::ip::tcp::socket m_target;
  Direction m_forward{m_caller, m_target};
  Direction m_backward{m_target, m_caller, true};
  std::string m_owner;
  bool m_is_closed = false;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_PROXY_LINK_H_
