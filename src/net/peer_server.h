/// @file peer_server.h Receives calls from other entry VMs.

#ifndef SORRELPLANK_NET_PEER_SERVER_H_
#define SORRELPLANK_NET_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "net/peer_client.h"

namespace sorrelplank {

/// Handlers of the calls; all run on the io thread.
struct PeerHandlers {
  template <typename Reply>
  using Done = std::function<void(const Reply&)>;

  std::function<proto::GossipMessage(const proto::GossipMessage&)> m_gossip;
  std::function<void(uint64_t call,
                     const proto::HandOnRequest&,
                     Done<proto::HandOnReply>)>
      m_hand_on;
  /// The other entry VM cancelled a HandOn call.
  std::function<void(uint64_t call)> m_hand_on_cancelled;
  std::function<void(const proto::SlotNotice&)> m_slots;
  std::function<proto::SeenReply(const proto::SeenRequest&)> m_seen;
  std::function<proto::ConfigReply(const proto::ConfigRequest&)> m_config;
};

/// Serves the peer protocol by gRPC.
class PeerServer {
 public:
  /// Starts to listen; throws std::runtime_error if it cannot.
  PeerServer(asio::io_context& io,
             const std::string& ip,
             uint16_t port,
             PeerHandlers handlers);
  ~PeerServer();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_PEER_SERVER_H_
