/// @file server_pool.cc Choice among kept connections.

#include "proxy/server_pool.h"

#include <algorithm>
#include <asio.hpp>
#include <utility>

#include "proxy/server_connection.h"
#include "proxy/server_probe.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Longer than an opening across regions takes, 110 ms, with one packet sent
/// again by the usual 200 ms timer.
constexpr Duration kConnectTimeout = milliseconds(500);
/// A server may forget an idle connection without a word; what is sent next is
/// then reset and may have run. Requests that must not run twice use only
/// connections that were busy a moment ago.
constexpr Duration kFreshForUnsafe = milliseconds(1000);

}  // namespace

ServerPool::ServerPool(asio::io_context& io) : m_io(io) {}

ServerPool::~ServerPool() {
  for (auto& [attempt, busy] : m_busy) {
    busy.m_connection->Close();
  }
  for (auto& [instance, connections] : m_idle) {
    for (const ConnectionPtr& connection : connections) {
      connection->Close();
    }
  }
}

void ServerPool::Send(AttemptId attempt,
                      const SendTarget& target,
                      ServerSend send,
                      ReplyHandler handler) {
  ConnectionPtr connection =
      TakeIdle(target.m_instance, target.m_is_idempotent);
  if (!connection) {
    ++m_opened;
    connection = std::make_shared<ServerConnection>(
        m_io, target.m_address,
        [this, instance = target.m_instance](ServerConnection* ended) {
          IdleEnded(instance, ended);
        });
  }
  m_busy[attempt] = {connection, target.m_instance, target.m_most_kept};
  connection->Send(
      std::move(send), kConnectTimeout,
      [this, attempt, handler = std::move(handler)](ServerReply reply) {
        const auto it = m_busy.find(attempt);
        const Busy busy = std::move(it->second);
        m_busy.erase(it);
        auto& idle = m_idle[busy.m_instance];
        if (busy.m_connection->IsReusable() && idle.size() < busy.m_most_kept) {
          idle.push_back(busy.m_connection);
        } else {
          busy.m_connection->Close();
        }
        handler(std::move(reply));
      });
}

void ServerPool::Cancel(AttemptId attempt) {
  const auto it = m_busy.find(attempt);
  if (it == m_busy.end()) {
    return;
  }
  it->second.m_connection->Close();
  m_busy.erase(it);
}

ServerPool::ConnectionPtr ServerPool::TakeIdle(const std::string& instance,
                                               bool is_idempotent) {
  const auto it = m_idle.find(instance);
  if (it == m_idle.end()) {
    return nullptr;
  }
  const TimePoint now = SteadyNow();
  // The one used last is the least likely to have been forgotten.
  while (!it->second.empty()) {
    ConnectionPtr connection = it->second.back();
    const bool is_fresh =
        is_idempotent || now - connection->IdleSince() <= kFreshForUnsafe;
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

void ServerPool::IdleEnded(const std::string& instance,
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

void ServerPool::Check(VmAddress address,
                       std::function<void(ServerReach)> handler) {
  ++m_opened;
  std::make_shared<ServerProbe>(m_io, std::move(handler))
      ->Start(address, kConnectTimeout);
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

void ServerPool::Drop(const std::string& instance) {
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
