/// @file soak_server.h A backend server of the soak, behind a proxy of its own.

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

/// What a server is.
struct SoakServerSpec {
  std::string m_service;
  std::string m_failure_domain;
  std::string m_ip;
  /// The proxy's port; the server itself listens on the next one.
  uint16_t m_port = 0;
};

/// Runs requests in slots, with a short queue, and reports each run to the
/// ledger. One instance at a time.
class SoakServer {
 public:
  /// Told of each request that begins to run: its id and this server.
  using RunHandler =
      std::function<void(const std::string& id, const SoakServer& server)>;
  /// Told of a request that ends this server.
  using CrashHandler =
      std::function<void(const std::string& id, SoakServer& server)>;

  /// Told of each request that reaches this server, and of what an answer
  /// asks.
  struct NoticeHandlers {
    RunHandler m_on_arrival;
    std::function<void(const std::string& id,
                       const SoakServer& server,
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

  /// All that runs is lost, and connections are refused.
  void Crash();
  /// Serves as a new run, under a new instance id or the one that it had, and
  /// may be of another service.
  void Restart(const std::string& instance, const std::string& service);
  bool IsUp() const { return m_is_up; }
  /// Counts the runs.
  uint64_t Life() const { return m_life; }
  /// What it asks from now on; with a pause it turns all requests away. Ends
  /// with the run.
  void Ask(const ServerNotice& notice) {
    m_notice = notice;
    ++m_notice_number;
  }
  /// Counts what it asked for.
  uint64_t NoticeNumber() const { return m_notice_number; }
  const ServerNotice& Asks() const { return m_notice; }
  /// Unix time of the run's start.
  milliseconds Started() const { return m_started; }

 private:
  /// A request that runs or waits for a slot.
  struct Work {
    HttpRequest m_request;
    HttpReply m_reply;
  };

  void Serve(HttpRequest request, HttpReply reply);
  void Reject(const HttpRequest& request, const HttpReply& reply, int status);
  /// Adds what it asks to an answer.
  void AddNotice(const std::string& id, HttpResponse& response);
  void Run(Work work);
  void Finish(const Work& work);

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
  std::list<Work> m_queue;
  /// Counts lives, so that what an earlier one ran does not end in a later.
  uint64_t m_life = 0;
  FaultProxy m_proxy;
  HttpServer m_server;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_SERVER_H_
