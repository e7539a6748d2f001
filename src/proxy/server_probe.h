/// @file server_probe.h Whether a server takes connections.

#ifndef SORRELPLANK_PROXY_SERVER_PROBE_H_
#define SORRELPLANK_PROXY_SERVER_PROBE_H_

#include <asio.hpp>
#include <functional>
#include <memory>

#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/crash_record_type.h"

namespace sorrelplank {

/// Opens one connection and closes it again; nothing is sent, so it costs the
/// server no slot.
class ServerProbe : public std::enable_shared_from_this<ServerProbe> {
 public:
  using Handler = std::function<void(ServerReach)>;

  ServerProbe(asio::io_context& io, Handler handler);

  /// The handler runs once, never within this.
  void Start(VmAddress address, Duration limit);

 private:
  void Finish(ServerReach reach);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_limit;
  Handler m_handler;
  bool m_is_done = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_PROBE_H_
