/// @file config_sync.h Fetches and installs accepted configurations.

#ifndef SORRELPLANK_SERVE_CONFIG_SYNC_H_
#define SORRELPLANK_SERVE_CONFIG_SYNC_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config_file_type.h"
#include "config/head_type.h"
#include "core/action_type.h"
#include "net/peer_client.h"
#include "platform/platform_client.h"
#include "serve/node_driver.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

class MetricsExport;

/// Fetches configurations from the platform and from peers.
///
/// Two entry VMs of each failure domain watch the platform; all others learn
/// of a new version from heartbeats and fetch it from a peer. The number of
/// calls to the platform therefore grows with the number of failure domains,
/// not with the number of entry VMs.
class ConfigSync {
 public:
  ConfigSync(asio::io_context& io,
             NodeDriver& driver,
             PlatformClient& platform,
             PeerClient& peers,
             MetricsExport& metrics,
             std::vector<VmAddress> seeds);
  ~ConfigSync();

  /// Requests the first configuration from the platform and the peers.
  void Start();

  /// Answers another entry VM's request for the configuration in force.
  proto::ConfigReply Answer(const proto::ConfigRequest& request) const;

  /// The head in force; empty until the first configuration is installed.
  const std::optional<Head>& CurrentHead() const { return m_head; }

  /// Whether the latest query for the platform's head got a usable response.
  bool IsPlatformUp() const { return m_is_platform_up; }

  /// Whether this entry VM watches the platform now.
  bool IsWatcher() const;

 private:
  /// A configuration whose chunks are being fetched.
  struct ChunkDownload;

  void HandleAction(const Action& action);
  void OnTick();
  void QueryPlatform();
  void Watch();
  void QueryPeers();
  void QueryPeer(VmAddress peer);
  void OnPlatformResponse(const PlatformResult& result);
  void OnPeerReply(PeerOutcome end, const proto::ConfigReply& reply);
  void DownloadChunks(const Head& head);
  void FetchNextChunk(const std::shared_ptr<ChunkDownload>& download);
  void AddCandidate(const Head& head, ConfigFiles files);
  void InstallCandidate();
  void SetPlatformUp(bool is_up);
  std::optional<std::string> FindChunk(const std::string& digest) const;
  ConfigVersion CurrentVersion() const;

  class Timer;

  NodeDriver& m_driver;
  PlatformClient& m_platform;
  PeerClient& m_peers;
  MetricsExport& m_metrics;
  std::vector<VmAddress> m_seeds;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_started{};
  std::optional<Head> m_head;
  std::string m_head_text;
  std::string m_platform_tag;
  /// Texts of the configuration in force, by digest.
  std::map<std::string, std::string> m_chunks;
  /// The newest configuration received before the first installation.
  struct Candidate {
    Head m_head;
    ConfigFiles m_files;
  };
  std::optional<Candidate> m_candidate;
  bool m_is_platform_up = true;
  bool m_has_queried_platform = false;
  bool m_is_querying_platform = false;
  bool m_is_downloading = false;
  bool m_has_warned_lower_version = false;
  size_t m_next_seed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CONFIG_SYNC_H_
