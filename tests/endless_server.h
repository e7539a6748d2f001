/// @file endless_server.h A backend server that never stops sending.

#ifndef SORRELPLANK_TESTS_ENDLESS_SERVER_H_
#define SORRELPLANK_TESTS_ENDLESS_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "core/vm_record_type.h"

namespace sorrelplank {

/// What an endless server sends: a beginning, then a unit over and over.
struct EndlessBytes {
  const char* m_what;
  std::string m_begin;
  std::string m_unit;
  bool m_is_http = true;
};

/// Accepts connections on loopback, and answers the first bytes of each with
/// bytes without end, until the caller closes.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& io, const EndlessBytes& bytes)
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        m_begin(bytes.m_begin) {
    while (m_block.size() < kBlockBytes) {
      m_block += bytes.m_unit;
    }
    Accept();
  }

  VmAddress Address() const {
    return {asio::ip::address_v4::loopback().to_uint(),
            m_acceptor.local_endpoint().port()};
  }

 private:
  static constexpr size_t kBlockBytes = 65536;

  struct Peer {
    explicit Peer(asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}
    asio::ip::tcp::socket m_socket;
    char m_request[4096];
  };

  void Accept() {
    m_acceptor.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          auto peer = std::make_shared<Peer>(std::move(socket));
          peer->m_socket.async_read_some(
              asio::buffer(peer->m_request),
              [this, peer](std::error_code failure, size_t) {
                if (!failure) {
                  Write(peer, m_begin);
                }
              });
          Accept();
        });
  }

  void Write(const std::shared_ptr<Peer>& peer, const std::string& bytes) {
    asio::async_write(peer->m_socket, asio::buffer(bytes),
                      [this, peer](std::error_code error, size_t) {
                        if (!error) {
                          Write(peer, m_block);
                        }
                      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::string m_begin;
  std::string m_block;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_ENDLESS_SERVER_H_
