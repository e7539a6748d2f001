/// @file peer_client.cc gRPC stubs and channels.

#include "net/peer_client.h"

#include <grpcpp/grpcpp.h>

#include <asio.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "proto/peer.grpc.pb.h"

namespace sorrelplank {

namespace {

constexpr Duration kControlTimeout = milliseconds(1000);
constexpr Duration kConfigTimeout = milliseconds(3000);
constexpr int kReconnectMinMs = 100;
constexpr int kReconnectMaxMs = 1000;
constexpr int kMaxMessageBytes = 32 << 20;

/// State of a call in progress, alive until its callback ran on the io thread.
template <typename Request, typename Reply>
struct CallState {
  grpc::ClientContext m_context;
  Request m_request;
  Reply m_reply;
};

PeerOutcome ToOutcome(const grpc::Status& status) {
  if (status.ok()) {
    return PeerOutcome::kAnswered;
  }
  return status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
             ? PeerOutcome::kTimedOut
             : PeerOutcome::kLost;
}

}  // namespace

class PeerClient::Impl {
 public:
  explicit Impl(asio::io_context& io) : m_io(io) {}

  ~Impl() {
    // Callbacks refer to the io_context, so wait until none is left.
    std::unique_lock<std::mutex> lock(m_mutex);
    for (auto& [id, context] : m_contexts) {
      context->TryCancel();
    }
    m_all_done.wait(lock, [this] { return m_open_calls == 0; });
  }

  template <typename Request, typename Reply, typename Method>
  uint64_t Call(VmAddress to,
                const Request& request,
                Duration timeout,
                Callback<Reply> callback,
                Method method) {
    Peer& peer = PeerAt(to);
    const bool is_cut_off = m_cut_off_ips.contains(to.m_ip);
    const bool is_connected =
        peer.m_channel->GetState(true) == GRPC_CHANNEL_READY;
    if (is_cut_off || !is_connected) {
      // Only a ready connection is used, so that kUnreachable means for certain
      // that nothing was sent. GetState(true) has started to connect.
      asio::post(m_io, [callback = std::move(callback)] {
        callback(PeerOutcome::kUnreachable, Reply());
      });
      return 0;
    }
    auto state = std::make_shared<CallState<Request, Reply>>();
    state->m_request = request;
    state->m_context.set_deadline(std::chrono::system_clock::now() + timeout);
    state->m_context.set_wait_for_ready(false);
    const uint64_t id = m_next_id++;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_contexts[id] = &state->m_context;
      ++m_open_calls;
    }
    auto done = [this, id, state,
                 callback = std::move(callback)](const grpc::Status& status) {
      asio::post(m_io, [state, callback, end = ToOutcome(status)] {
        callback(end, state->m_reply);
      });
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_contexts.erase(id);
      --m_open_calls;
      m_all_done.notify_all();
    };
    method(*peer.m_stub, state.get(), std::move(done));
    return id;
  }

  void Cancel(uint64_t id) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_contexts.find(id);
    if (it != m_contexts.end()) {
      it->second->TryCancel();
    }
  }

  void CountBytes(size_t bytes) { m_control_bytes += bytes; }
  uint64_t ControlBytes() const { return m_control_bytes; }
  void SetCutOffIps(std::set<uint32_t> ips) { m_cut_off_ips = std::move(ips); }

 private:
  /// A channel to one address. Channels are never closed, as there are few.
  struct Peer {
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<proto::Peer::Stub> m_stub;
  };

  Peer& PeerAt(VmAddress address) {
    const auto it = m_peers.find(address);
    if (it != m_peers.end()) {
      return it->second;
    }
    grpc::ChannelArguments arguments;
    // A retry by gRPC itself could run a request twice.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMinMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMinMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMaxMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    const std::string target =
        "ipv4:" + FormatIp(address.m_ip) + ":" + std::to_string(address.m_port);
    Peer peer;
    peer.m_channel = grpc::CreateCustomChannel(
        target, grpc::InsecureChannelCredentials(), arguments);
    peer.m_stub = proto::Peer::NewStub(peer.m_channel);
    return m_peers.emplace(address, std::move(peer)).first->second;
  }

  asio::io_context& m_io;
  std::map<VmAddress, Peer> m_peers;
  std::set<uint32_t> m_cut_off_ips;
  uint64_t m_next_id = 1;
  uint64_t m_control_bytes = 0;
  std::mutex m_mutex;
  std::condition_variable m_all_done;
  std::map<uint64_t, grpc::ClientContext*> m_contexts;
  size_t m_open_calls = 0;
};

PeerClient::PeerClient(asio::io_context& io)
    : m_impl(std::make_unique<Impl>(io)) {}

PeerClient::~PeerClient() = default;

void PeerClient::Gossip(VmAddress to,
                        const proto::GossipMessage& message,
                        Callback<proto::GossipMessage> callback) {
  m_impl->CountBytes(message.ByteSizeLong());
  m_impl->Call<proto::GossipMessage, proto::GossipMessage>(
      to, message, kControlTimeout, std::move(callback),
      [](auto& stub, auto* state, auto done) {
        stub.async()->Gossip(&state->m_context, &state->m_request,
                             &state->m_reply, std::move(done));
      });
}

uint64_t PeerClient::HandOn(VmAddress to,
                            const proto::HandOnRequest& request,
                            Duration timeout,
                            Callback<proto::HandOnReply> callback) {
  return m_impl->Call<proto::HandOnRequest, proto::HandOnReply>(
      to, request, timeout, std::move(callback),
      [](auto& stub, auto* state, auto done) {
        stub.async()->HandOn(&state->m_context, &state->m_request,
                             &state->m_reply, std::move(done));
      });
}

void PeerClient::Slots(VmAddress to, const proto::SlotNotice& notice) {
  m_impl->CountBytes(notice.ByteSizeLong());
  m_impl->Call<proto::SlotNotice, proto::SlotNoticeReply>(
      to, notice, kControlTimeout,
      [](PeerOutcome, const proto::SlotNoticeReply&) {},
      [](auto& stub, auto* state, auto done) {
        stub.async()->Slots(&state->m_context, &state->m_request,
                            &state->m_reply, std::move(done));
      });
}

void PeerClient::Seen(VmAddress to,
                      const proto::SeenRequest& request,
                      Duration timeout,
                      Callback<proto::SeenReply> callback) {
  m_impl->Call<proto::SeenRequest, proto::SeenReply>(
      to, request, timeout, std::move(callback),
      [](auto& stub, auto* state, auto done) {
        stub.async()->Seen(&state->m_context, &state->m_request,
                           &state->m_reply, std::move(done));
      });
}

void PeerClient::Config(VmAddress to,
                        const proto::ConfigRequest& request,
                        Callback<proto::ConfigReply> callback) {
  m_impl->CountBytes(request.ByteSizeLong());
  m_impl->Call<proto::ConfigRequest, proto::ConfigReply>(
      to, request, kConfigTimeout, std::move(callback),
      [](auto& stub, auto* state, auto done) {
        stub.async()->Config(&state->m_context, &state->m_request,
                             &state->m_reply, std::move(done));
      });
}

void PeerClient::Cancel(uint64_t call) {
  m_impl->Cancel(call);
}

uint64_t PeerClient::ControlBytes() const {
  return m_impl->ControlBytes();
}

void PeerClient::SetCutOffIps(std::set<uint32_t> ips) {
  m_impl->SetCutOffIps(std::move(ips));
}

}  // namespace sorrelplank
