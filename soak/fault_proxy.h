/// @file fault_proxy.h A loopback proxy that harms connections.

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

/// Where a proxy listens and what it stands before.
struct ProxyEnds {
  asio::ip::tcp::endpoint m_listen;
  asio::ip::tcp::endpoint m_target;
};

/// What happens to connections now.
enum class LinkFault : uint8_t {
  kNone,
  kRefuse,          ///< Connections are reset as soon as they are made.
  kSilentBackward,  ///< What the target answers is dropped.
  kSilent,          ///< Nothing passes, either way.
};

/// Passes bytes between its callers and one target.
class FaultProxy {
 public:
  /// Listens at once; throws std::system_error where it cannot.
  FaultProxy(asio::io_context& io, const ProxyEnds& ends);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void SetFault(LinkFault fault) { m_fault = fault; }
  /// Each piece of bytes arrives later by this.
  void SetDelay(Duration delay) { m_delay = delay; }
  /// From now on connections are refused, as where no process listens.
  void StopListening();
  void Listen();
  /// Ends all open connections with a reset.
  void ResetAll();

 private:
  friend class ProxyLink;

  void Accept();

  asio::io_context& m_io;
  ProxyEnds m_ends;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<ProxyLink>> m_links;
  LinkFault m_fault = LinkFault::kNone;
  Duration m_delay{};
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_FAULT_PROXY_H_
