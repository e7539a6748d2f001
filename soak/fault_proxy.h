/// @file fault_proxy.h Loopback TCP proxy that injects connection faults.

#ifndef SORRELPLANK_SOAK_FAULT_PROXY_H_
#define SORRELPLANK_SOAK_FAULT_PROXY_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

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
  kSendEndlessly,  ///< Responses are replaced by bytes without end.
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
  /// What kSendEndlessly sends, over and over; if empty, the response with a
  /// body that does not end.
  void SetEndlessUnit(std::string unit) { m_endless_unit = std::move(unit); }
  /// Delays each chunk of data by this time.
  void SetDelay(Duration delay) { m_delay = delay; }
  /// Closes the listener: new connections are refused, as without a server
  /// process.
  void StopListening();
  void Listen();
  /// Resets all open connections.
  void ResetAll();

  /// Whether a connection is cut: `caller` is the caller's endpoint, `listener`
  /// the one that it connected to.
  using CutFilter =
      std::function<bool(const asio::ip::tcp::endpoint& caller,
                         const asio::ip::tcp::endpoint& listener)>;
  /// From now on new connections that match are reset.
  void SetCutFilter(CutFilter filter) { m_is_cut = std::move(filter); }
  /// Resets the open connections that match the filter.
  void ResetCut();

  /// Finds the name of the process that holds the caller's end of a connection.
  using OwnerFinder =
      std::function<std::string(const asio::ip::tcp::endpoint& caller,
                                const asio::ip::tcp::endpoint& listener)>;
  /// The process that sent the request with this id; empty if unknown.
  std::string SenderOf(const std::string& request_id, const OwnerFinder& find);

 private:
  friend class ProxyLink;

  void Accept();
  /// Records the connection of a request whose head is in the bytes.
  void NoteRequest(const std::string& bytes,
                   const std::shared_ptr<ProxyLink>& link);

  asio::io_context& m_io;
  ProxyEndpoints m_endpoints;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<ProxyLink>> m_links;
  LinkFault m_fault = LinkFault::kNone;
  Duration m_delay{};
  std::string m_endless_unit;
  CutFilter m_is_cut;
  /// By request id, from the time at which the request passed.
  std::map<std::string, std::weak_ptr<ProxyLink>> m_links_by_request;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_FAULT_PROXY_H_
