/// @file load_exchange.cc Datagrams of loads.

#include "proxy/load_exchange.h"

#include <algorithm>
#include <utility>

#include "proto/loads.pb.h"
#include "proxy/load_peers_func.h"

namespace sorrelplank {

namespace {

/// Datagrams to all peers in a second. At a hundred bytes each they are 12
/// KB/s, what control may cost a VM.
constexpr int kMostPerSecond = 120;
/// Loads are told this often at the most: half of the time that a slot is taken
/// for a usual request.
constexpr Duration kShortestInterval = milliseconds(60);
/// And at the least, with so many peers that some are told only the next time.
constexpr Duration kLongestInterval = milliseconds(250);
/// Loads in one datagram, which then fits a usual packet of 1,500 bytes.
constexpr size_t kMostLoads = 120;

}  // namespace

std::string EncodeLoads(const std::vector<ServerLoad>& loads) {
  proto::ServerLoads message;
  for (size_t at = 0; at < std::min(loads.size(), kMostLoads); ++at) {
    const ServerLoad& load = loads[at];
    message.add_server(load.m_server.Get());
    message.add_running(load.m_load.m_running);
    message.add_waiting(load.m_load.m_waiting);
    message.add_age_ms(static_cast<uint32_t>(load.m_age / milliseconds(1)));
  }
  return message.SerializeAsString();
}

std::vector<ServerLoad> DecodeLoads(const char* bytes, size_t length) {
  proto::ServerLoads message;
  if (!message.ParseFromArray(bytes, static_cast<int>(length))) {
    return {};
  }
  const int count = message.server_size();
  if (message.running_size() != count || message.waiting_size() != count ||
      message.age_ms_size() != count) {
    return {};
  }
  std::vector<ServerLoad> loads;
  loads.reserve(static_cast<size_t>(count));
  for (int at = 0; at < count; ++at) {
    loads.push_back({.m_server = NameHash(message.server(at)),
                     .m_load = {.m_running = message.running(at),
                                .m_waiting = message.waiting(at)},
                     .m_age = milliseconds(message.age_ms(at))});
  }
  return loads;
}

LoadExchange::LoadExchange(asio::io_context& io,
                           VmAddress own,
                           LoadsHandler handler)
    : m_handler(std::move(handler)),
      m_socket(io, own, [this](const char* bytes, size_t length, VmAddress) {
        return Take(bytes, length);
      }) {}

bool LoadExchange::IsDue(TimePoint now) const {
  const auto at_the_bound =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(m_peers.size()) / kMostPerSecond));
  return now - m_told >= std::clamp<Duration>(at_the_bound, kShortestInterval,
                                              kLongestInterval);
}

void LoadExchange::Tell(const std::vector<ServerLoad>& loads, TimePoint now) {
  m_told = now;
  if (loads.empty() || m_peers.empty()) {
    return;
  }
  const std::string bytes = EncodeLoads(loads);
  const size_t count = std::min(m_peers.size(), kMostLoadPeers);
  for (size_t sent = 0; sent < count; ++sent) {
    // What is not sent is not missed: the next datagram tells something newer.
    m_socket.Send(bytes, m_peers[m_next_peer++ % m_peers.size()]);
  }
}

bool LoadExchange::Take(const char* bytes, size_t length) {
  const auto loads = DecodeLoads(bytes, length);
  if (loads.empty()) {
    return false;
  }
  m_handler(loads);
  return true;
}

}  // namespace sorrelplank
