/// @file peer_server.cc gRPC service that passes every call to the io thread.

#include "net/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <asio.hpp>
#include <atomic>
#include <stdexcept>
#include <utility>

#include "proto/peer.grpc.pb.h"

namespace sorrelplank {

namespace {

constexpr int kMaxMessageBytes = 32 << 20;
constexpr Duration kShutdownTimeout = milliseconds(200);

/// Reactor of one call; deletes itself when gRPC is done with it. That is after
/// Finish(), so the io thread may still reply after a cancellation.
class Reactor : public grpc::ServerUnaryReactor {
 public:
  explicit Reactor(std::function<void()> on_cancel)
      : m_on_cancel(std::move(on_cancel)) {}

  void OnCancel() override {
    if (m_on_cancel) {
      m_on_cancel();
    }
  }
  void OnDone() override { delete this; }

 private:
  std::function<void()> m_on_cancel;
};

}  // namespace

class PeerServer::Impl : public proto::Peer::CallbackService {
 public:
  Impl(asio::io_context& io,
       const std::string& ip,
       uint16_t port,
       PeerHandlers handlers)
      : m_io(io), m_handlers(std::move(handlers)) {
    grpc::ServerBuilder builder;
    int bound = 0;
    builder.AddListeningPort(ip + ":" + std::to_string(port),
                             grpc::InsecureServerCredentials(), &bound);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
    if (!m_server || bound == 0) {
      throw std::runtime_error("cannot listen on " + ip + ":" +
                               std::to_string(port) + " for entry VMs");
    }
  }

  ~Impl() override {
    m_server->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
  }

  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext*,
                                   const proto::GossipMessage* request,
                                   proto::GossipMessage* reply) override {
    return PostUnaryCall(request, reply, m_handlers.m_gossip);
  }

  grpc::ServerUnaryReactor* Slots(grpc::CallbackServerContext*,
                                  const proto::SlotNotice* request,
                                  proto::SlotNoticeReply*) override {
    auto* reactor = new Reactor(nullptr);
    asio::post(m_io, [this, request, reactor] {
      m_handlers.m_slots(*request);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Seen(grpc::CallbackServerContext*,
                                 const proto::SeenRequest* request,
                                 proto::SeenReply* reply) override {
    return PostUnaryCall(request, reply, m_handlers.m_seen);
  }

  grpc::ServerUnaryReactor* Config(grpc::CallbackServerContext*,
                                   const proto::ConfigRequest* request,
                                   proto::ConfigReply* reply) override {
    return PostUnaryCall(request, reply, m_handlers.m_config);
  }

  grpc::ServerUnaryReactor* HandOn(grpc::CallbackServerContext*,
                                   const proto::HandOnRequest* request,
                                   proto::HandOnReply* reply) override {
    const uint64_t call = m_next_call++;
    auto* reactor = new Reactor([this, call] {
      asio::post(m_io, [this, call] { m_handlers.m_hand_on_cancelled(call); });
    });
    asio::post(m_io, [this, call, request, reply, reactor] {
      m_handlers.m_hand_on(call, *request,
                           [reply, reactor](const proto::HandOnReply& answer) {
                             *reply = answer;
                             reactor->Finish(grpc::Status::OK);
                           });
    });
    return reactor;
  }

 private:
  template <typename Request, typename Reply, typename Handler>
  grpc::ServerUnaryReactor* PostUnaryCall(const Request* request,
                                          Reply* reply,
                                          const Handler& handler) {
    auto* reactor = new Reactor(nullptr);
    asio::post(m_io, [request, reply, reactor, &handler] {
      *reply = handler(*request);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  asio::io_context& m_io;
  PeerHandlers m_handlers;
  std::atomic<uint64_t> m_next_call{1};
  std::unique_ptr<grpc::Server> m_server;
};

PeerServer::PeerServer(asio::io_context& io,
                       const std::string& ip,
                       uint16_t port,
                       PeerHandlers handlers)
    : m_impl(std::make_unique<Impl>(io, ip, port, std::move(handlers))) {}

PeerServer::~PeerServer() = default;

}  // namespace sorrelplank
