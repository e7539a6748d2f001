/// @file http_server.cc Accepting of connections.

#include "net/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "core/time_type.h"
#include "net/connection_choice_func.h"
#include "net/http_connection.h"
#include "net/http_server_context.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Consecutive turns of the event loop without a new connection or request
/// after which none is waiting. A turn handles what the one before it found.
constexpr int kQuietTurns = 3;
/// Maximum time to wait for them, if there are new ones in each turn.
constexpr Duration kMaxReadingTime = milliseconds(500);
/// Interval between searches for connections that make no progress.
constexpr Duration kSweepInterval = seconds(1);
/// Pause after a connection could not be accepted, which mostly means that the
/// process has no descriptor left.
constexpr Duration kAcceptPause = milliseconds(50);
/// Pause after no stalled body was found, since each refused request asks.
constexpr Duration kStallSearchInterval = milliseconds(100);

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io,
       const std::string& ip,
       uint16_t port,
       HttpLimits limits,
       Handler handler,
       ClosedHandler closed)
      : m_io(io),
        m_address(asio::ip::make_address(ip), port),
        m_acceptor(io),
        m_accept_timer(io),
        m_sweep_timer(io) {
    m_context->m_limits = limits;
    m_context->m_handler = std::move(handler);
    m_context->m_on_closed = std::move(closed);
    m_context->m_on_heads_grown = [this] { CloseOldestHeads(); };
    Open();
    Sweep();
  }

  ~Impl() {
    m_context->m_on_closed = nullptr;
    m_context->m_on_heads_grown = [] {};
    const auto connections = std::move(m_context->m_connections);
    m_context->m_connections.clear();
    for (const auto& [id, connection] : connections) {
      connection->Close();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void SetBodyAdmission(BodyAdmission admission) {
    m_context->m_admit_body = std::move(admission);
  }

  void SetCapacity(const HttpCapacity& capacity) {
    m_context->m_capacity = capacity;
  }

  void SetTimeouts(const HttpTimeouts& timeouts) {
    m_context->m_timeouts = timeouts;
  }

  void Stop() {
    m_is_stopping = true;
    AfterReading([this] {
      if (!m_is_stopping) {
        // Reopened before the listener was closed.
        return;
      }
      m_accept_timer.cancel();
      std::error_code ignored;
      m_acceptor.close(ignored);
    });
  }

  void AfterReading(std::function<void()> then) {
    CountQuietTurns(m_context->m_arrivals, 0, SteadyNow() + kMaxReadingTime,
                    std::move(then));
  }

  bool EndStalledBody() {
    const TimePoint now = SteadyNow();
    if (now < m_next_stall_search) {
      return false;
    }
    const auto stalled = ChooseStalledBody(Standings(), now);
    if (!stalled) {
      m_next_stall_search = now + kStallSearchInterval;
      return false;
    }
    const std::shared_ptr<HttpConnection> connection =
        m_context->m_connections.at(*stalled);
    connection->EndBody(now);
    return true;
  }

  size_t ClosedForOthers() const { return m_context->m_closed_for_others; }

  size_t UnwrittenResponses() const {
    return *m_context->m_unwritten_responses;
  }

  void Reopen(FailureHandler on_failure) {
    m_is_stopping = false;
    asio::post(m_io, [this, alive = std::weak_ptr<void>(m_alive),
                      on_failure = std::move(on_failure)] {
      if (alive.expired() || m_acceptor.is_open()) {
        return;
      }
      try {
        Open();
      } catch (const std::system_error&) {
        on_failure(std::current_exception());
      }
    });
  }

 private:
  void Open() {
    m_acceptor.open(m_address.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_address);
    m_acceptor.listen();
    Accept();
  }

  void Accept() {
    m_acceptor.async_accept([this, alive = std::weak_ptr<void>(m_alive)](
                                std::error_code error,
                                asio::ip::tcp::socket socket) {
      if (alive.expired() || error == asio::error::operation_aborted) {
        return;
      }
      if (error) {
        AcceptLater();
        return;
      }
      ++m_context->m_arrivals;
      const uint64_t id = m_next_connection++;
      const auto connection =
          std::make_shared<HttpConnection>(std::move(socket), id, m_context);
      // Without room the new connection is closed with its last reference.
      if (MakeRoom()) {
        m_context->m_connections.emplace(id, connection);
        connection->Start();
      }
      if (m_acceptor.is_open()) {
        Accept();
      }
    });
  }

  std::vector<ConnectionStanding> Standings() const {
    std::vector<ConnectionStanding> standings;
    standings.reserve(m_context->m_connections.size());
    for (const auto& [id, connection] : m_context->m_connections) {
      standings.push_back(connection->Standing());
    }
    return standings;
  }

  /// Closes a connection, if necessary, so that a new one can be kept. Returns
  /// false if the requests of all are being served.
  bool MakeRoom() {
    if (m_context->m_connections.size() <
        m_context->m_capacity.m_max_connections) {
      return true;
    }
    const auto stalest = ChooseStalest(Standings());
    if (!stalest) {
      ++m_context->m_closed_for_others;
      return false;
    }
    CloseConnection(*stalest);
    return true;
  }

  void CloseOldestHeads() {
    while (m_context->m_head_bytes > m_context->m_capacity.m_max_head_bytes) {
      const auto oldest = ChooseOldestHead(Standings());
      if (!oldest) {
        return;
      }
      CloseConnection(*oldest);
    }
  }

  void CloseConnection(uint64_t id) {
    ++m_context->m_closed_for_others;
    // A copy, because the connection removes itself from the map.
    const std::shared_ptr<HttpConnection> connection =
        m_context->m_connections.at(id);
    connection->Close();
  }

  void AcceptLater() {
    m_accept_timer.expires_after(kAcceptPause);
    m_accept_timer.async_wait([this](std::error_code error) {
      if (!error && m_acceptor.is_open()) {
        Accept();
      }
    });
  }

  void Sweep() {
    m_sweep_timer.expires_after(kSweepInterval);
    m_sweep_timer.async_wait([this](std::error_code error) {
      if (error) {
        return;
      }
      std::vector<std::shared_ptr<HttpConnection>> connections;
      for (const auto& [id, connection] : m_context->m_connections) {
        connections.push_back(connection);
      }
      const TimePoint now = SteadyNow();
      for (const auto& connection : connections) {
        connection->CloseIfOverdue(now);
      }
      Sweep();
    });
  }

  void CountQuietTurns(size_t arrivals,
                       int quiet_turns,
                       TimePoint latest,
                       std::function<void()> then) {
    asio::post(m_io, [this, alive = std::weak_ptr<void>(m_alive), arrivals,
                      quiet_turns, latest, then = std::move(then)]() mutable {
      if (alive.expired()) {
        return;
      }
      const size_t arrived = m_context->m_arrivals;
      const int turns = arrived == arrivals ? quiet_turns + 1 : 0;
      if (turns == kQuietTurns || SteadyNow() >= latest) {
        then();
        return;
      }
      CountQuietTurns(arrived, turns, latest, std::move(then));
    });
  }

  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_address;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  asio::steady_timer m_sweep_timer;
  std::shared_ptr<HttpServerContext> m_context =
      std::make_shared<HttpServerContext>();
  uint64_t m_next_connection = 1;
  TimePoint m_next_stall_search{};
  /// The listener closes once everything that has arrived is read.
  bool m_is_stopping = false;
  /// Expires with this object.
  std::shared_ptr<void> m_alive = std::make_shared<int>(0);
};
HttpServer::HttpServer(asio::io_context& io,
                       const std::string& ip,
                       uint16_t port,
                       HttpLimits limits,
                       Handler handler,
                       ClosedHandler closed)
    : m_impl(std::make_unique<Impl>(io,
                                    ip,
                                    port,
                                    limits,
                                    std::move(handler),
                                    std::move(closed))) {}

HttpServer::~HttpServer() = default;

void HttpServer::SetBodyAdmission(BodyAdmission admission) {
  m_impl->SetBodyAdmission(std::move(admission));
}

void HttpServer::SetCapacity(const HttpCapacity& capacity) {
  m_impl->SetCapacity(capacity);
}

void HttpServer::SetTimeouts(const HttpTimeouts& timeouts) {
  m_impl->SetTimeouts(timeouts);
}

bool HttpServer::EndStalledBody() {
  return m_impl->EndStalledBody();
}

size_t HttpServer::ClosedForOthers() const {
  return m_impl->ClosedForOthers();
}

void HttpServer::Stop() {
  m_impl->Stop();
}

void HttpServer::AfterReading(std::function<void()> then) {
  m_impl->AfterReading(std::move(then));
}

size_t HttpServer::UnwrittenResponses() const {
  return m_impl->UnwrittenResponses();
}

void HttpServer::Reopen(FailureHandler on_failure) {
  m_impl->Reopen(std::move(on_failure));
}

}  // namespace sorrelplank
