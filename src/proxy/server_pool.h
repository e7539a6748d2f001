/// @file server_pool.h Connections to backend servers.

#ifndef SORRELPLANK_PROXY_SERVER_POOL_H_
#define SORRELPLANK_PROXY_SERVER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "proxy/server_reply_type.h"
#include "steer/crash_record_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

class ServerConnection;
struct ServerSend;

/// Where a request goes, and what may become of its connection.
struct SendTarget {
  std::string m_instance;
  VmAddress m_address;
  bool m_is_idempotent = false;
  /// Idle connections to the instance that may be kept behind the answer.
  size_t m_most_kept = 0;
};

/// Keeps connections by instance: an address may come to belong to another
/// server, a connection may not.
class ServerPool {
 public:
  explicit ServerPool(asio::io_context& io);
  ~ServerPool();

  /// Sends on a kept connection where one is fit, else on a new one.
  void Send(AttemptId attempt,
            const SendTarget& target,
            ServerSend send,
            ReplyHandler handler);

  /// Closes the send's connection; its handler does not run.
  void Cancel(AttemptId attempt);

  /// Opens a connection, closes it again, and tells whether it could be opened.
  void Check(VmAddress address, std::function<void(ServerReach)> handler);

  /// Closes kept connections that servers are about to close.
  void CloseExpired(TimePoint now);
  /// Closes the idle connections of an instance that has gone.
  void Drop(const std::string& instance);

  uint64_t Opened() const { return m_opened; }

 private:
  using ConnectionPtr = std::shared_ptr<ServerConnection>;

  /// A send under way.
  struct Busy {
    ConnectionPtr m_connection;
    std::string m_instance;
    size_t m_most_kept = 0;
  };

  ConnectionPtr TakeIdle(const std::string& instance, bool is_idempotent);
  void IdleEnded(const std::string& instance,
                 const ServerConnection* connection);

  asio::io_context& m_io;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::unordered_map<AttemptId, Busy> m_busy;
  uint64_t m_opened = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_POOL_H_
