/// @file edge_vm.h An entry VM as a process, with a store and a backend server.

#ifndef SORRELPLANK_TESTS_EDGE_VM_H_
#define SORRELPLANK_TESTS_EDGE_VM_H_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "net/http_server.h"
#include "soak/edge_child.h"
#include "standin/store_standin.h"

namespace sorrelplank {

/// Limits of the process, and how its backend server behaves.
struct EdgeVmOptions {
  size_t m_memory_mb = 96;
  /// Descriptors that the process may open.
  size_t m_descriptors = 4100;
  size_t m_response_bytes = 64;
  /// Requests with a path that begins so get no answer.
  std::string m_unanswered_prefix = "/read/never";
};

/// Runs `sorrelplank edge` on a loopback network of its own. The store, the
/// server and all clients run on one event loop, in the test's process.
class EdgeVm {
 public:
  enum class Listener : uint8_t {
    kClients,
    kReady,
    kDirectory,
    kMetrics,
    kFeed,
    kPeers
  };

  explicit EdgeVm(const EdgeVmOptions& options);
  ~EdgeVm();
  EdgeVm(const EdgeVm&) = delete;
  EdgeVm& operator=(const EdgeVm&) = delete;

  asio::io_context& Io() { return m_io; }
  asio::ip::tcp::endpoint EndpointOf(Listener listener) const;

  /// Runs the event loop until the condition holds, or for this time. Returns
  /// whether it holds.
  bool RunUntil(const std::function<bool()>& condition, Duration longest);
  void RunFor(Duration time);
  /// Whether an ordinary request is answered by the server. Returns as often
  /// as it is rejected or cut off, as clients do.
  bool IsRequestServed(const std::string& path = "/read/ordinary",
                       const std::string& body = "");

  bool IsAlive();
  /// The most memory that the process has had, in bytes.
  size_t PeakMemory();
  size_t OpenDescriptors() const;

 private:
  void WriteSettings(const EdgeVmOptions& options) const;
  void WriteConfig();
  void Serve(const HttpRequest& request, const HttpReply& reply);
  std::string Ip(int last) const;

  asio::io_context m_io{1};
  EdgeVmOptions m_options;
  std::string m_network;
  std::string m_folder;
  StoreStandin m_store;
  std::unique_ptr<HttpServer> m_store_server;
  std::unique_ptr<HttpServer> m_backend;
  /// Replies that are never used.
  std::vector<HttpReply> m_unanswered;
  std::unique_ptr<soak::EdgeChild> m_child;
  /// Of the process, once it has ended.
  size_t m_last_peak = 0;
  bool m_has_ended = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_EDGE_VM_H_
