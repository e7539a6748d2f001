/// @file served_store.h A stand-in for the store, on a loopback port.

#ifndef SORRELPLANK_TESTS_SERVED_STORE_H_
#define SORRELPLANK_TESTS_SERVED_STORE_H_

#include <asio.hpp>
#include <cstdint>

#include "net/http_server.h"
#include "standin/store_standin.h"
#include "tests/free_port_func.h"

namespace sorrelplank {

/// Serves requests while its io_context runs.
struct ServedStore {
  asio::io_context m_io{1};
  uint16_t m_port = FreePort();
  StoreStandin m_store{m_io};
  HttpServer m_server{
      m_io,
      "127.0.0.1",
      m_port,
      {},
      [this](const HttpRequest& request, const HttpReply& reply) {
        m_store.Serve(request, reply);
      }};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_SERVED_STORE_H_
