/// @file load_exchange.h Exchange of server loads between entry VMs.

#ifndef SORRELPLANK_PROXY_LOAD_EXCHANGE_H_
#define SORRELPLANK_PROXY_LOAD_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "proxy/datagram_socket.h"
#include "steer/server_load_type.h"

namespace sorrelplank {

/// Serialises loads into a datagram; excess loads are left out.
std::string EncodeLoads(const std::vector<ServerLoad>& loads);

/// Parses a datagram; returns an empty vector if it is malformed.
std::vector<ServerLoad> DecodeLoads(const char* bytes, size_t length);

/// Sends and receives server loads as UDP datagrams.
///
/// In a large fleet a VM sends to a given server only every few seconds, and
/// its view of the server's load would be outdated, while other VMs keep that
/// server busy. Each VM therefore shares the load reports that it received, as
/// often as the bandwidth limit allows. Lost datagrams are not repeated, since
/// the next one is newer. Correctness must not depend on these loads.
class LoadExchange {
 public:
  /// Receives the loads reported by another VM.
  using LoadsHandler = std::function<void(const std::vector<ServerLoad>&)>;

  /// Binds the socket and starts receiving; throws std::system_error on
  /// failure.
  LoadExchange(asio::io_context& io, VmAddress own, LoadsHandler handler);

  void SetPeers(std::vector<VmAddress> peers) { m_peers = std::move(peers); }

  /// Whether the next broadcast is due.
  bool IsDue(TimePoint now) const;
  /// Sends the loads to the peers. With more than kMaxLoadPeers, the next ones
  /// in turn are served.
  void SendLoads(const std::vector<ServerLoad>& loads, TimePoint now);

  const DatagramSocket& Socket() const { return m_socket; }

 private:
  bool HandleDatagram(const char* bytes, size_t length);

  LoadsHandler m_handler;
  std::vector<VmAddress> m_peers;
  size_t m_next_peer = 0;
  TimePoint m_last_sent{};
  DatagramSocket m_socket;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_LOAD_EXCHANGE_H_
