/// @file load_exchange.cc Encoding and sending of load datagrams.

#include "proxy/load_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "proto/loads.pb.h"
#include "proxy/load_peers_func.h"

namespace sorrelplank {

namespace {

/// Rate limit over all peers. At about a hundred bytes per datagram it amounts
/// to 12 KB/s, the bandwidth that control traffic of a VM may use.
constexpr int kMaxDatagramsPerSecond = 120;
/// Minimum time between two broadcasts: half of the time for which a typical
/// request occupies a slot.
constexpr Duration kMinSendInterval = milliseconds(60);
/// Maximum time between two broadcasts, also with so many peers that some of
/// them have to wait for the next one.
constexpr Duration kMaxSendInterval = milliseconds(250);
/// Keeps a datagram within the usual packet size of 1,500 bytes.
constexpr size_t kMaxLoadsPerDatagram = 120;

}  // namespace

std::string EncodeLoads(const std::vector<ServerLoad>& loads) {
  proto::ServerLoads message;
  for (size_t at = 0; at < std::min(loads.size(), kMaxLoadsPerDatagram); ++at) {
    const ServerLoad& load = loads[at];
    message.add_server(load.m_server.Get());
    message.add_running(load.m_load.m_running);
    message.add_waiting(load.m_load.m_waiting);
    message.add_age_ms(static_cast<uint32_t>(load.m_age / milliseconds(1)));
    message.add_work_percent(load.m_load.m_work_percent.value_or(0));
  }
  const auto& figures = message.work_percent();
  if (std::all_of(figures.begin(), figures.end(),
                  [](uint32_t figure) { return figure == 0; })) {
    message.clear_work_percent();
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
  const bool has_figures = message.work_percent_size() > 0;
  if (has_figures && message.work_percent_size() != count) {
    return {};
  }
  std::vector<ServerLoad> loads;
  loads.reserve(static_cast<size_t>(count));
  for (int at = 0; at < count; ++at) {
    std::optional<uint32_t> work_percent;
    if (has_figures && message.work_percent(at) > 0) {
      work_percent = message.work_percent(at);
    }
    loads.push_back({.m_server = NameHash(message.server(at)),
                     .m_load = {.m_running = message.running(at),
                                .m_waiting = message.waiting(at),
                                .m_work_percent = work_percent},
                     .m_age = milliseconds(message.age_ms(at))});
  }
  return loads;
}

LoadExchange::LoadExchange(asio::io_context& io,
                           VmAddress own,
                           LoadsHandler handler)
    : m_handler(std::move(handler)),
      m_socket(io, own, [this](const char* bytes, size_t length, VmAddress) {
        return HandleDatagram(bytes, length);
      }) {}

bool LoadExchange::IsDue(TimePoint now) const {
  const auto rate_limited_interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(m_peers.size()) / kMaxDatagramsPerSecond));
  return now - m_last_sent >= std::clamp<Duration>(rate_limited_interval,
                                                   kMinSendInterval,
                                                   kMaxSendInterval);
}

void LoadExchange::SendLoads(const std::vector<ServerLoad>& loads,
                             TimePoint now) {
  m_last_sent = now;
  if (loads.empty() || m_peers.empty()) {
    return;
  }
  const std::string bytes = EncodeLoads(loads);
  const size_t count = std::min(m_peers.size(), kMaxLoadPeers);
  for (size_t sent = 0; sent < count; ++sent) {
    // A failed send needs no retry: the next datagram has newer loads.
    m_socket.Send(bytes, m_peers[m_next_peer++ % m_peers.size()]);
  }
}

bool LoadExchange::HandleDatagram(const char* bytes, size_t length) {
  const auto loads = DecodeLoads(bytes, length);
  if (loads.empty()) {
    return false;
  }
  m_handler(loads);
  return true;
}

}  // namespace sorrelplank
