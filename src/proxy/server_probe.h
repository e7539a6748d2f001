/// @file server_probe.h Checks whether a server accepts connections.

#ifndef SORRELPLANK_PROXY_SERVER_PROBE_H_
#define SORRELPLANK_PROXY_SERVER_PROBE_H_

#include <asio.hpp>
#include <functional>
#include <memory>

#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/crash_record_type.h"

namespace sorrelplank {

/// Opens one connection and closes it again. Nothing is sent, so that the probe
/// occupies no slot of the server.
class ServerProbe : public std::enable_shared_from_this<ServerProbe> {
 public:
  using Handler = std::function<void(ServerReach)>;

  ServerProbe(asio::io_context& io, Handler handler);

  /// Connects within the timeout and keeps the connection open for `hold`. The
  /// handler is called once, never from within Start.
  void Start(VmAddress address, Duration timeout, Duration hold);

 private:
  /// Reports whether the connection, which was just opened, stays open.
  void Watch(Duration hold);
  void Finish(ServerReach reach);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timeout_timer;
  Handler m_handler;
  char m_byte = 0;
  bool m_is_done = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_PROBE_H_
