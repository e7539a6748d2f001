/// @file datagram_socket.h Datagrams between entry VMs.

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

/// Sends and receives datagrams at one address.
class DatagramSocket {
 public:
  /// Takes a datagram that fits a usual packet; whether it could be read.
  using Handler =
      std::function<bool(const char* bytes, size_t length, VmAddress sender)>;

  /// Listens at once; throws std::system_error where it cannot.
  DatagramSocket(asio::io_context& io, VmAddress own, Handler handler);

  /// Never blocks; what cannot be sent is counted and dropped.
  void Send(const std::string& bytes, VmAddress peer);

  /// Counts of datagrams, for metrics.
  uint64_t Received() const { return m_received; }
  uint64_t Malformed() const { return m_malformed; }
  uint64_t Unsent() const { return m_unsent; }

 private:
  void Receive();
  void Take(size_t bytes);

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
