/// @file soak_caller.h A caller with one kept connection.

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

/// An entry VM as callers know it.
struct CallerTarget {
  std::string m_vm;
  asio::ip::tcp::endpoint m_address;
};

/// Sends one request after the other on a connection that it keeps until the
/// entry VM closes it or its process is gone. Each send has an id of its own; a
/// caller repeats nothing.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
 public:
  /// Names the entry VM for a new connection.
  using TargetPicker = std::function<CallerTarget()>;
  /// Told of each connection that ended without an answer, before the ledger.
  using CutHandler = std::function<void(const std::string& id)>;

  SoakCaller(asio::io_context& io,
             Ledger& ledger,
             std::string name,
             TargetPicker pick,
             CutHandler on_cut);

  void Start() { Next(); }
  /// No further requests; the one under way is awaited.
  void Stop() { m_is_stopped = true; }
  bool IsIdle() const { return m_id.empty(); }

 private:
  void Next();
  void Connect();
  void Send();
  void Read();
  void OnBytes(size_t bytes);
  void OnAnswer();
  /// The connection ended, or the caller's patience did.
  void OnEnd();
  void Close();
  void PauseThenNext();

  static int OnField(http_parser* parser, const char* at, size_t length);
  static int OnValue(http_parser* parser, const char* at, size_t length);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnComplete(http_parser* parser);

  Ledger& m_ledger;
  std::string m_name;
  TargetPicker m_pick;
  CutHandler m_on_cut;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::steady_timer m_limit;
  std::minstd_rand m_random;
  CallerTarget m_target;
  bool m_is_open = false;
  bool m_is_stopped = false;
  uint64_t m_count = 0;
  /// Of the request under way; empty between requests.
  std::string m_id;
  std::string m_bytes;
  http_parser m_parser{};
  bool m_is_complete = false;
  HttpResponse m_response;
  std::array<char, 8192> m_buffer{};
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOAK_CALLER_H_
