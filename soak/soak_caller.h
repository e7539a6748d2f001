/// @file soak_caller.h Caller that sends requests on a persistent connection.

#ifndef SORRELPLANK_SOAK_SOAK_CALLER_H_
#define SORRELPLANK_SOAK_SOAK_CALLER_H_

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "net/http_message_type.h"

namespace sorrelplank::soak {

class Ledger;

/// Name and address of an entry VM.
struct CallerTarget {
  std::string m_vm;
  asio::ip::tcp::endpoint m_address;
};

/// Sends one request after the other on a persistent connection, which it keeps
/// until the entry VM closes it or its process ends. Each request has an id of
/// its own and is never retried.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
 public:
  /// Selects the entry VM for a new connection.
  using TargetPicker = std::function<CallerTarget()>;
  /// Called for each connection that ended without a response, before the
  /// ledger records it.
  using ConnectionLostHandler = std::function<void(const std::string& id)>;

  SoakCaller(asio::io_context& io,
             Ledger& ledger,
             std::string name,
             TargetPicker pick,
             ConnectionLostHandler on_connection_lost);

  void Start() { StartNext(); }
  /// Sends no further requests; the pending one is still awaited.
  void Stop() { m_is_stopped = true; }
  bool IsIdle() const { return m_id.empty(); }

 private:
  void StartNext();
  void Connect();
  void Send();
  void Read();
  void OnBytes(size_t bytes);
  void OnResponse();
  /// The connection ended or the request timed out.
  void OnEnd();
  void Close();
  void PauseThenStartNext();

  static int OnField(http_parser* parser, const char* at, size_t length);
  static int OnValue(http_parser* parser, const char* at, size_t length);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnComplete(http_parser* parser);

  Ledger& m_ledger;
  std::string m_name;
  TargetPicker m_pick;
  ConnectionLostHandler m_on_connection_lost;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::steady_timer m_timeout_timer;
  std::minstd_rand m_random;
  CallerTarget m_target;
  bool m_is_open = false;
  bool m_is_stopped = false;
  uint64_t m_count = 0;
  /// Id of the pending request; empty between requests.
  std::string m_id;
  std::string m_bytes;
  http_parser m_parser{};
  bool m_is_complete = false;
  HttpResponse m_response;
  std::array<char, 8192> m_buffer{};
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_CALLER_H_
