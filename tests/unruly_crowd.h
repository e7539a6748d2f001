/// @file unruly_crowd.h Clients that send what they like and stay connected.

#ifndef SORRELPLANK_TESTS_UNRULY_CROWD_H_
#define SORRELPLANK_TESTS_UNRULY_CROWD_H_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/edge_vm.h"

namespace sorrelplank {

/// What each client sends: a beginning, and then a piece several times. Errors
/// are ignored, since a client may be refused or cut off.
struct UnrulyScript {
  std::string m_begin;
  std::string m_piece;
  size_t m_pieces = 0;
  /// Every fourth client also sends this.
  std::string m_end;
};

/// Sends the scripts piece by piece, all clients in turn, and keeps the
/// connections open until it is destroyed.
class UnrulyCrowd {
 public:
  UnrulyCrowd(EdgeVm& vm, EdgeVm::Listener listener, UnrulyScript script)
      : m_vm(vm),
        m_to(vm.EndpointOf(listener)),
        m_script(std::make_shared<UnrulyScript>(std::move(script))) {}
  ~UnrulyCrowd() {
    for (const auto& client : m_clients) {
      client->Close();
    }
  }
  UnrulyCrowd(const UnrulyCrowd&) = delete;
  UnrulyCrowd& operator=(const UnrulyCrowd&) = delete;

  /// Connects so many clients and waits until they have sent everything, or
  /// were cut off.
  void Join(size_t clients) {
    const size_t before = m_clients.size();
    for (size_t number = 0; number < clients; ++number) {
      m_clients.push_back(
          std::make_shared<Client>(m_vm.Io(), m_script, m_finished));
      m_clients.back()->SetIsComplete(number % kCompleteEvery == 0);
      m_clients.back()->Start(m_to);
    }
    m_vm.RunUntil(
        [this, expected = before + clients] {
          return *m_finished >= expected || !m_vm.IsAlive();
        },
        seconds(60));
  }

 private:
  static constexpr size_t kCompleteEvery = 4;

  class Client : public std::enable_shared_from_this<Client> {
   public:
    Client(asio::io_context& io,
           std::shared_ptr<const UnrulyScript> script,
           std::shared_ptr<size_t> finished)
        : m_socket(io),
          m_script(std::move(script)),
          m_finished(std::move(finished)) {}

    void Start(const asio::ip::tcp::endpoint& to) {
      m_socket.async_connect(
          to, [self = shared_from_this()](std::error_code error) {
            if (error) {
              self->End();
              return;
            }
            self->Read();
            self->Send(self->m_script->m_begin);
          });
    }
    void SetIsComplete(bool is_complete) { m_is_complete = is_complete; }
    void Close() {
      std::error_code ignored;
      m_socket.close(ignored);
    }

   private:
    void Send(const std::string& bytes) {
      asio::async_write(
          m_socket, asio::buffer(bytes),
          [self = shared_from_this()](std::error_code error, size_t) {
            if (error) {
              self->End();
              return;
            }
            self->SendNext();
          });
    }
    void SendNext() {
      if (m_sent < m_script->m_pieces) {
        ++m_sent;
        Send(m_script->m_piece);
        return;
      }
      if (std::exchange(m_is_complete, false)) {
        Send(m_script->m_end);
        return;
      }
      End();
    }
    void Read() {
      m_socket.async_read_some(
          asio::buffer(m_buffer),
          [self = shared_from_this()](std::error_code error, size_t) {
            if (!error) {
              self->Read();
            }
          });
    }
    void End() {
      if (!m_has_ended) {
        m_has_ended = true;
        ++*m_finished;
      }
    }

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<const UnrulyScript> m_script;
    std::shared_ptr<size_t> m_finished;
    std::array<char, 4096> m_buffer{};
    size_t m_sent = 0;
    bool m_is_complete = false;
    bool m_has_ended = false;
  };

  EdgeVm& m_vm;
  asio::ip::tcp::endpoint m_to;
  std::shared_ptr<UnrulyScript> m_script;
  std::shared_ptr<size_t> m_finished = std::make_shared<size_t>(0);
  std::vector<std::shared_ptr<Client>> m_clients;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_UNRULY_CROWD_H_
