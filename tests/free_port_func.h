/// @file free_port_func.h Picks a free port for a server in a test.

#ifndef SORRELPLANK_TESTS_FREE_PORT_FUNC_H_
#define SORRELPLANK_TESTS_FREE_PORT_FUNC_H_

#include <asio.hpp>
#include <cstdint>

namespace sorrelplank {

/// A port of the loopback address that was free when this was called.
inline uint16_t FreePort() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(
      io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_FREE_PORT_FUNC_H_
