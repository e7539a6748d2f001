/// @file config_spread.h Brings accepted configurations into force here.

#ifndef SORRELPLANK_SERVE_CONFIG_SPREAD_H_
#define SORRELPLANK_SERVE_CONFIG_SPREAD_H_

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
/// of a new version from heartbeats and fetch it from a peer. So the
/// platform's calls grow with the failure domains and not with the fleet.
class ConfigSpread {
 public:
  ConfigSpread(asio::io_context& io,
               NodeDriver& driver,
               PlatformClient& platform,
               PeerClient& peers,
               MetricsExport& metrics,
               std::vector<VmAddress> seeds);
  ~ConfigSpread();

  /// Asks the platform and the peers for the first configuration.
  void Start();

  /// Another entry VM asks for ours.
  proto::ConfigReply Answer(const proto::ConfigRequest& request) const;

  /// The head in force; empty before the first.
  const std::optional<Head>& CurrentHead() const { return m_head; }

  /// Whether the platform answered when it was last asked.
  bool IsPlatformUp() const { return m_platform_up; }

  /// Whether this entry VM watches the platform now.
  bool IsWatcher() const;

 private:
  /// A configuration whose chunks are being collected.
  struct Collecting;

  void Take(const Action& action);
  void OnTick();
  void AskPlatform();
  void Watch();
  void AskPeers();
  void AskPeer(VmAddress peer);
  void PlatformAnswered(const PlatformResult& result);
  void PeerAnswered(PeerOutcome end, const proto::ConfigReply& reply);
  void Collect(const Head& head);
  void FetchNextChunk(const std::shared_ptr<Collecting>& work);
  void Offer(const Head& head, ConfigFiles files);
  void InstallBest();
  void NotePlatform(bool is_up);
  std::optional<std::string> FindChunk(const std::string& digest) const;
  ConfigVersion OwnVersion() const;

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
  /// Texts in force, by digest.
  std::map<std::string, std::string> m_chunks;
  /// Best offer before the first installation.
  struct Candidate {
    Head m_head;
    ConfigFiles m_files;
  };
  std::optional<Candidate> m_candidate;
  bool m_platform_up = true;
  bool m_platform_asked = false;
  bool m_is_asking_platform = false;
  bool m_is_collecting = false;
  bool m_warned_lower = false;
  size_t m_next_seed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CONFIG_SPREAD_H_
