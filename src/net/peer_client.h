/// @file peer_client.h Calls to other entry VMs.

#ifndef SORRELPLANK_NET_PEER_CLIENT_H_
#define SORRELPLANK_NET_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "core/time_type.h"
#include "core/vm_record_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

namespace proto {
class ConfigReply;
class ConfigRequest;
class GossipMessage;
class HandOnReply;
class HandOnRequest;
class SeenReply;
class SeenRequest;
class SlotNotice;
}  // namespace proto

/// Outcome of a call to a peer.
enum class PeerOutcome : uint8_t {
  kAnswered,
  kUnreachable,  ///< There was no connection; nothing was sent.
  kLost,         ///< Failed; the request may have arrived.
  kTimedOut,     ///< Timed out; the request may have arrived.
};

/// Makes gRPC calls to other entry VMs. Callbacks run on the io thread.
class PeerClient {
 public:
  template <typename Reply>
  using Callback = std::function<void(PeerOutcome, const Reply&)>;

  explicit PeerClient(asio::io_context& io);
  ~PeerClient();

  void Gossip(VmAddress to,
              const proto::GossipMessage& message,
              Callback<proto::GossipMessage> callback);
  /// Returns an id for Cancel.
  uint64_t HandOn(VmAddress to,
                  const proto::HandOnRequest& request,
                  Duration timeout,
                  Callback<proto::HandOnReply> callback);
  /// One-way notice; its reply is ignored.
  void Slots(VmAddress to, const proto::SlotNotice& notice);
  void Seen(VmAddress to,
            const proto::SeenRequest& request,
            Duration timeout,
            Callback<proto::SeenReply> callback);
  void Config(VmAddress to,
              const proto::ConfigRequest& request,
              Callback<proto::ConfigReply> callback);

  /// Aborts a HandOn() call; its callback still runs.
  void Cancel(uint64_t call);

  /// Bytes sent in gossip, slot notices and configuration requests, for the
  /// budget of control traffic.
  uint64_t ControlBytes() const;

  /// Makes these addresses unreachable, as a network partition would. Only for
  /// failure tests; see the setting "fault_switch".
  void SetCutOffIps(std::set<uint32_t> ips);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_PEER_CLIENT_H_
