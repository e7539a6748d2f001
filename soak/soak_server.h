/// @file soak_server.h Simulated backend server of the soak, behind its own
/// FaultProxy.

#ifndef SORRELPLANK_SOAK_SOAK_SERVER_H_
#define SORRELPLANK_SOAK_SOAK_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

#include "net/http_server.h"
#include "soak/fault_proxy.h"
#include "steer/server_notice_type.h"

namespace sorrelplank::soak {

class Ledger;

/// Service, location and address of a server.
struct SoakServerSpec {
  std::string m_service;
  std::string m_failure_domain;
  std::string m_ip;
  /// Port of the proxy; the server itself listens on the next port.
  uint16_t m_port = 0;
};

/// Runs requests in a fixed number of slots with a short queue, and records
/// each run in the ledger. Has one instance at a time.
class SoakServer {
 public:
  /// Called for each request that starts to run, with its id and this server.
  using RunHandler =
      std::function<void(const std::string& id, SoakServer& server)>;
  /// Called for a request that crashes this server.
  using CrashHandler =
      std::function<void(const std::string& id, SoakServer& server)>;

  /// Called for each request that reaches this server, and for each response
  /// with a notice.
  struct NoticeHandlers {
    RunHandler m_on_arrival;
    std::function<void(const std::string& id,
                       SoakServer& server,
                       const ServerNotice& notice)>
        m_on_notice;
  };

  SoakServer(asio::io_context& io,
             SoakServerSpec spec,
             Ledger& ledger,
             RunHandler on_run,
             CrashHandler on_crash,
             NoticeHandlers notices);

  const SoakServerSpec& Spec() const { return m_spec; }
  const std::string& Instance() const { return m_instance; }
  std::string Address() const;
  FaultProxy& Proxy() { return m_proxy; }

  /// Drops all running and queued requests and refuses connections.
  void Crash();
  /// Starts a new run, under a new or the previous instance id, for the same or
  /// another service.
  void Restart(const std::string& instance, const std::string& service);
  bool IsUp() const { return m_is_up; }
  /// Changes with every crash and restart.
  uint64_t Generation() const { return m_generation; }
  /// Sets the notice for responses from now on, until the run ends. With a
  /// pause, all requests are rejected.
  void SetNotice(const ServerNotice& notice) {
    m_notice = notice;
    ++m_notice_number;
  }
  /// Number of notices set so far.
  uint64_t NoticeNumber() const { return m_notice_number; }
  const ServerNotice& CurrentNotice() const { return m_notice; }
  /// Unix time at which the run started.
  milliseconds Started() const { return m_started; }

 private:
  /// A request that runs or waits in the queue.
  struct AcceptedRequest {
    HttpRequest m_request;
    HttpReply m_reply;
  };

  void Serve(HttpRequest request, HttpReply reply);
  void Reject(const HttpRequest& request, const HttpReply& reply, int status);
  /// Adds the headers of the notice to a response.
  void AddNotice(const std::string& id, HttpResponse& response);
  void Run(AcceptedRequest accepted);
  void Finish(const AcceptedRequest& accepted);

  asio::io_context& m_io;
  SoakServerSpec m_spec;
  Ledger& m_ledger;
  RunHandler m_on_run;
  CrashHandler m_on_crash;
  NoticeHandlers m_notices;
  ServerNotice m_notice;
  uint64_t m_notice_number = 0;
  std::string m_instance;
  bool m_is_up = false;
  milliseconds m_started{};
  std::minstd_rand m_random;
  size_t m_running = 0;
  std::list<AcceptedRequest> m_queue;
  /// Lets timers of an earlier run recognise that it is over, so that its
  /// requests do not finish in a later one.
  uint64_t m_generation = 0;
  FaultProxy m_proxy;
  HttpServer m_server;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_SERVER_H_
