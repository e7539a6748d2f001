/// @file server_pool.cc Reuse of idle connections.

#include "proxy/server_pool.h"

#include <algorithm>
#include <asio.hpp>
#include <utility>

#include "proxy/body_budget.h"
#include "proxy/server_connection.h"
#include "proxy/server_probe.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Exceeds the 110 ms of a connection setup across regions plus one
/// retransmission after the usual 200 ms timer.
constexpr Duration kConnectTimeout = milliseconds(500);
/// A server may drop an idle connection silently. The next request on it is
/// then reset, and it is unknown whether it ran. Non-idempotent requests
/// therefore only use connections that were in use just before.
constexpr Duration kMaxIdleForNonIdempotent = milliseconds(1000);
/// A server that sent an oversized response is tried again with a lower limit:
/// this multiple of the largest complete response of any server, and at least
/// so many bytes.
constexpr size_t kResponseLimitFactor = 2;
constexpr size_t kMinResponseLimitBytes = 1U << 20U;

}  // namespace

ServerPool::ServerPool(asio::io_context& io, const BodyBudget& bodies)
    : m_io(io), m_bodies(bodies) {}

ServerPool::~ServerPool() {
  for (auto& [attempt, active] : m_active_sends) {
    active.m_connection->Close();
  }
  for (auto& [instance, connections] : m_idle) {
    for (const ConnectionPtr& connection : connections) {
      connection->Close();
    }
  }
}

void ServerPool::Send(AttemptId attempt,
                      const SendTarget& target,
                      ServerRequest send,
                      ReplyHandler handler) {
  ConnectionPtr connection =
      TakeIdle(target.m_instance, target.m_is_idempotent);
  if (!connection) {
    ++m_connections_opened;
    connection = std::make_shared<ServerConnection>(
        m_io, target.m_address,
        [this, instance = target.m_instance](ServerConnection* ended) {
          OnIdleConnectionEnded(instance, ended);
        });
  }
  send.m_max_response_bytes =
      MaxResponseBytes(target.m_instance, send.m_max_response_bytes);
  send.m_on_body = [this, attempt](size_t bytes) {
    OnBodyReceived(attempt, bytes);
  };
  m_active_sends[attempt] = {connection, target.m_instance, target.m_max_idle};
  connection->Send(
      std::move(send), kConnectTimeout,
      [this, attempt, handler = std::move(handler)](ServerReply reply) {
        const auto it = m_active_sends.find(attempt);
        const ActiveSend active = std::move(it->second);
        m_active_sends.erase(it);
        m_arriving.Remove(attempt);
        NoteReply(active.m_instance, reply);
        auto& idle = m_idle[active.m_instance];
        if (active.m_connection->IsReusable() &&
            idle.size() < active.m_max_idle) {
          idle.push_back(active.m_connection);
        } else {
          active.m_connection->Close();
        }
        handler(std::move(reply));
      });
}

void ServerPool::Cancel(AttemptId attempt) {
  const auto it = m_active_sends.find(attempt);
  if (it == m_active_sends.end()) {
    return;
  }
  it->second.m_connection->Close();
  m_active_sends.erase(it);
  m_arriving.Remove(attempt);
}

size_t ServerPool::MaxResponseBytes(const std::string& instance,
                                    size_t usual) const {
  if (!m_oversized.contains(instance)) {
    return usual;
  }
  return std::min(usual,
                  std::max(kMinResponseLimitBytes,
                           kResponseLimitFactor * m_largest_response_bytes));
}

void ServerPool::NoteReply(const std::string& instance,
                           const ServerReply& reply) {
  if (reply.m_end == ReplyEnd::kOversized) {
    m_oversized.insert(instance);
  } else if (reply.m_end == ReplyEnd::kComplete) {
    m_oversized.erase(instance);
    m_largest_response_bytes =
        std::max(m_largest_response_bytes, reply.m_response.m_body.size());
  }
}

void ServerPool::OnBodyReceived(AttemptId attempt, size_t bytes) {
  const ActiveSend& active = m_active_sends.at(attempt);
  if (m_oversized.contains(active.m_instance) &&
      bytes > MaxResponseBytes(active.m_instance, SIZE_MAX)) {
    const ConnectionPtr connection = active.m_connection;
    connection->EndOversized("response too large");
    return;
  }
  const auto largest =
      m_arriving.Update(attempt, bytes, m_bodies.ArrivingBound());
  if (!largest) {
    return;
  }
  // The handler of the ended send removes it from the map.
  const ConnectionPtr connection = m_active_sends.at(*largest).m_connection;
  connection->EndOversized("no memory left for the response");
}

ServerPool::ConnectionPtr ServerPool::TakeIdle(const std::string& instance,
                                               bool is_idempotent) {
  const auto it = m_idle.find(instance);
  if (it == m_idle.end()) {
    return nullptr;
  }
  const TimePoint now = SteadyNow();
  // The most recently used one is the least likely to have been dropped by the
  // server.
  while (!it->second.empty()) {
    ConnectionPtr connection = it->second.back();
    const bool is_fresh = is_idempotent || now - connection->IdleSince() <=
                                               kMaxIdleForNonIdempotent;
    if (!is_fresh) {
      return nullptr;
    }
    it->second.pop_back();
    if (connection->IsReusable() && now < connection->UsableUntil()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void ServerPool::OnIdleConnectionEnded(const std::string& instance,
                                       const ServerConnection* connection) {
  const auto it = m_idle.find(instance);
  if (it == m_idle.end()) {
    return;
  }
  const auto ended = std::find_if(
      it->second.begin(), it->second.end(),
      [&](const ConnectionPtr& one) { return one.get() == connection; });
  if (ended != it->second.end()) {
    (*ended)->Close();
    it->second.erase(ended);
  }
}

void ServerPool::ProbeServer(VmAddress address,
                             Duration hold,
                             std::function<void(ServerReach)> handler) {
  ++m_connections_opened;
  std::make_shared<ServerProbe>(m_io, std::move(handler))
      ->Start(address, kConnectTimeout, hold);
}

void ServerPool::CloseExpired(TimePoint now) {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::erase_if(it->second, [now](const ConnectionPtr& connection) {
      const bool is_expired = now >= connection->UsableUntil();
      if (is_expired) {
        connection->Close();
      }
      return is_expired;
    });
    it = it->second.empty() ? m_idle.erase(it) : std::next(it);
  }
}

void ServerPool::CloseIdle(const std::string& instance) {
  m_oversized.erase(instance);
  const auto it = m_idle.find(instance);
  if (it == m_idle.end()) {
    return;
  }
  for (const ConnectionPtr& connection : it->second) {
    connection->Close();
  }
  m_idle.erase(it);
}

}  // namespace sorrelplank
