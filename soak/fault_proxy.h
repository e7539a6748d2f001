/// @file fault_proxy.h Loopback TCP proxy that injects connection faults.

#ifndef SORRELPLANK_SOAK_FAULT_PROXY_H_
#define SORRELPLANK_SOAK_FAULT_PROXY_H_

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "core/time_type.h"

namespace sorrelplank::soak {

class ProxyLink;

/// Listening address of a proxy and the target it connects to.
struct ProxyEndpoints {
  asio::ip::tcp::endpoint m_listen;
  asio::ip::tcp::endpoint m_target;
};

/// Fault applied to connections.
enum class LinkFault : uint8_t {
  kNone,
  kRefuse,         ///< New connections are reset at once.
  kDropResponses,  ///< Data from the target is dropped.
  kDropAll,        ///< Data of both directions is dropped.
};

/// Forwards bytes between its clients and one target.
class FaultProxy {
 public:
  /// Starts to listen; throws std::system_error where that fails.
  FaultProxy(asio::io_context& io, const ProxyEndpoints& endpoints);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void SetFault(LinkFault fault) { m_fault = fault; }
  /// Delays each chunk of data by this time.
  void SetDelay(Duration delay) { m_delay = delay; }
  /// Closes the listener: new connections are refused, as without a server
  /// process.
  void StopListening();
  void Listen();
  /// Resets all open connections.
  void ResetAll();

 private:
  friend class ProxyLink;

  void Accept();

  asio::io_context& m_io;
  ProxyEndpoints m_endpoints;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<ProxyLink>> m_links;
  LinkFault m_fault = LinkFault::kNone;
  Duration m_delay{};
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_FAULT_PROXY_H_
