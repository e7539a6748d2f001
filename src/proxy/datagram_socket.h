/// @file datagram_socket.h UDP socket for messages between entry VMs.

#ifndef SORRELPLANK_PROXY_DATAGRAM_SOCKET_H_
#define SORRELPLANK_PROXY_DATAGRAM_SOCKET_H_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "core/vm_record_type.h"

namespace sorrelplank {

/// Non-blocking UDP socket bound to one local address.
class DatagramSocket {
 public:
  /// Receives a datagram of at most one packet; returns whether it could be
  /// parsed.
  using Handler =
      std::function<bool(const char* bytes, size_t length, VmAddress sender)>;

  /// Binds the socket and starts receiving; throws std::system_error on
  /// failure.
  DatagramSocket(asio::io_context& io, VmAddress own, Handler handler);

  /// Never blocks; a datagram that cannot be sent is counted and dropped.
  void Send(const std::string& bytes, VmAddress peer);

  /// Datagram counts for metrics.
  uint64_t Received() const { return m_received; }
  uint64_t Malformed() const { return m_malformed; }
  uint64_t Unsent() const { return m_unsent; }

 private:
  void Receive();
  void HandleDatagram(size_t bytes);

  asio::ip::udp::socket m_socket;
  Handler m_handler;
  uint64_t m_received = 0;
  uint64_t m_malformed = 0;
  uint64_t m_unsent = 0;
  asio::ip::udp::endpoint m_sender;
  std::array<char, 2048> m_buffer{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_DATAGRAM_SOCKET_H_
