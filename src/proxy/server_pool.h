/// @file server_pool.h Connection pool for backend servers.

#ifndef SORRELPLANK_PROXY_SERVER_POOL_H_
#define SORRELPLANK_PROXY_SERVER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "proxy/arriving_responses.h"
#include "proxy/server_reply_type.h"
#include "steer/crash_record_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

class BodyBudget;
class ServerConnection;
struct ServerRequest;

/// Destination of a request and the reuse policy for its connection.
struct SendTarget {
  std::string m_instance;
  VmAddress m_address;
  bool m_is_idempotent = false;
  /// Maximum number of idle connections to the instance after the response.
  size_t m_max_idle = 0;
};

/// Pools connections per server instance rather than per address: an address
/// may be reassigned to another server, an open connection cannot.
class ServerPool {
 public:
  /// The budget must outlive the pool.
  ServerPool(asio::io_context& io, const BodyBudget& bodies);
  ~ServerPool();

  /// Sends on a suitable idle connection, otherwise on a new one.
  void Send(AttemptId attempt,
            const SendTarget& target,
            ServerRequest send,
            ReplyHandler handler);

  /// Closes the connection of the send; its handler is not called.
  void Cancel(AttemptId attempt);

  /// Opens a connection, closes it again after `hold` and reports whether it
  /// could be opened and stayed open.
  void ProbeServer(VmAddress address,
                   Duration hold,
                   std::function<void(ServerReach)> handler);

  /// Closes idle connections whose UsableUntil has passed, before their servers
  /// close them.
  void CloseExpired(TimePoint now);
  /// Closes the idle connections of an instance that no longer exists.
  void CloseIdle(const std::string& instance);

  /// Total number of connections opened, including probes.
  uint64_t ConnectionsOpened() const { return m_connections_opened; }

 private:
  using ConnectionPtr = std::shared_ptr<ServerConnection>;

  /// A send in progress.
  struct ActiveSend {
    ConnectionPtr m_connection;
    std::string m_instance;
    size_t m_max_idle = 0;
  };

  /// The largest response body that is accepted from the instance.
  size_t MaxResponseBytes(const std::string& instance, size_t usual) const;
  void NoteReply(const std::string& instance, const ServerReply& reply);
  /// Ends an attempt if the incomplete responses need too much memory.
  void OnBodyReceived(AttemptId attempt, size_t bytes);
  ConnectionPtr TakeIdle(const std::string& instance, bool is_idempotent);
  void OnIdleConnectionEnded(const std::string& instance,
                             const ServerConnection* connection);

  asio::io_context& m_io;
  const BodyBudget& m_bodies;
  ArrivingResponses m_arriving;
  /// Instances whose last response was oversized.
  std::set<std::string> m_oversized;
  /// The largest complete response body so far.
  size_t m_largest_response_bytes = 0;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::unordered_map<AttemptId, ActiveSend> m_active_sends;
  uint64_t m_connections_opened = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_POOL_H_
