/// @file datagram_socket.cc A UDP socket.

#include "proxy/datagram_socket.h"

#include <utility>

namespace sorrelplank {

namespace {

asio::ip::udp::endpoint Endpoint(VmAddress address) {
  return {asio::ip::address_v4(address.m_ip), address.m_port};
}

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& io,
                               VmAddress own,
                               Handler handler)
    : m_socket(io, Endpoint(own)), m_handler(std::move(handler)) {
  m_socket.non_blocking(true);
  Receive();
}

void DatagramSocket::Send(const std::string& bytes, VmAddress peer) {
  std::error_code error;
  m_socket.send_to(asio::buffer(bytes), Endpoint(peer), 0, error);
  m_unsent += error ? 1 : 0;
}

void DatagramSocket::Receive() {
  m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                              [this](std::error_code error, size_t bytes) {
                                if (error == asio::error::operation_aborted) {
                                  return;
                                }
                                if (!error) {
                                  HandleDatagram(bytes);
                                }
                                Receive();
                              });
}

void DatagramSocket::HandleDatagram(size_t bytes) {
  ++m_received;
  const VmAddress sender{m_sender.address().to_v4().to_uint(), m_sender.port()};
  m_malformed += m_handler(m_buffer.data(), bytes, sender) ? 0 : 1;
}

}  // namespace sorrelplank
