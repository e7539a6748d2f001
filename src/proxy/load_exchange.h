/// @file load_exchange.h Tells the entry VMs of the region of servers' loads.

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

/// The bytes of a datagram with loads.
std::string EncodeLoads(const std::vector<ServerLoad>& loads);

/// Reads a datagram; nothing where it is malformed.
std::vector<ServerLoad> DecodeLoads(const char* bytes, size_t length);

/// Sends and receives loads by datagram.
///
/// A VM meets each server only now and then, in large fleets every few seconds,
/// and would know its load from long ago, while it serves other VMs. Each VM
/// tells the reports that it received to others, as often as the bound on bytes
/// allows. A datagram that is lost is not missed: the next one is newer.
/// Nothing that must be right rests on it.
class LoadExchange {
 public:
  /// Takes the loads that another VM tells.
  using LoadsHandler = std::function<void(const std::vector<ServerLoad>&)>;

  /// Listens at once; throws std::system_error where it cannot.
  LoadExchange(asio::io_context& io, VmAddress own, LoadsHandler handler);

  void SetPeers(std::vector<VmAddress> peers) { m_peers = std::move(peers); }

  /// Whether it is time to tell.
  bool IsDue(TimePoint now) const;
  void Tell(const std::vector<ServerLoad>& loads, TimePoint now);

  const DatagramSocket& Socket() const { return m_socket; }

 private:
  bool Take(const char* bytes, size_t length);

  LoadsHandler m_handler;
  std::vector<VmAddress> m_peers;
  size_t m_next_peer = 0;
  TimePoint m_told{};
  DatagramSocket m_socket;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_LOAD_EXCHANGE_H_
