/// @file store.cc Program that serves the stand-in store over HTTP.

#include <asio.hpp>
#include <iostream>
#include <string>

#include "net/http_server.h"
#include "standin/store_standin.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: standin_platform IP PORT\n";
    return 2;
  }
  asio::io_context io{1};
  sorrelplank::StoreStandin store(io);
  // Values of up to 1 MB are a third larger on the wire, in base64.
  const sorrelplank::HttpLimits limits{size_t{2} << 20U, 8192};
  const sorrelplank::HttpServer server(
      io, argv[1], static_cast<uint16_t>(std::stoi(argv[2])), limits,
      [&](const sorrelplank::HttpRequest& request,
          const sorrelplank::HttpReply& reply) {
        store.Serve(request, reply);
      });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code, int) { io.stop(); });
  io.run();
  return 0;
}
