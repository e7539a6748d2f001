/// @file config_sync.cc Watches, fetches and installs configurations.

#include "serve/config_sync.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <asio.hpp>
#include <utility>

#include "config/config_parse_func.h"
#include "net/peer_convert_func.h"
#include "proto/peer.pb.h"
#include "serve/clock_func.h"
#include "serve/metrics_export.h"

namespace sorrelplank {

namespace {

constexpr size_t kWatchersPerDomain = 2;
constexpr Duration kWatchWait = seconds(30);
constexpr Duration kTickInterval = milliseconds(500);
/// A starting entry VM waits this long for newer versions before it installs
/// the newest one received, so that it does not start with an old version from
/// one peer.
constexpr Duration kSettleTime = milliseconds(1000);

/// Weight for rendezvous hashing: the VMs with the highest weights in a failure
/// domain watch the platform.
uint64_t WatchWeight(const VmName& vm) {
  return XXH3_64bits_withSeed(vm.data(), vm.size(), 0x57a7c4);
}

}  // namespace

/// Calls a function periodically until the timer is destroyed.
class ConfigSync::Timer {
 public:
  Timer(asio::io_context& io, std::function<void()> on_tick)
      : m_timer(io), m_on_tick(std::move(on_tick)) {}

  void Arm() {
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](std::error_code error) {
      if (!error) {
        m_on_tick();
        Arm();
      }
    });
  }

 private:
  asio::steady_timer m_timer;
  std::function<void()> m_on_tick;
};

/// The chunks of one head, fetched one after the other.
struct ConfigSync::ChunkDownload {
  Head m_head;
  ConfigFiles m_files;
};

ConfigSync::ConfigSync(asio::io_context& io,
                       NodeDriver& driver,
                       PlatformClient& platform,
                       PeerClient& peers,
                       MetricsExport& metrics,
                       std::vector<VmAddress> seeds)
    : m_driver(driver),
      m_platform(platform),
      m_peers(peers),
      m_metrics(metrics),
      m_seeds(std::move(seeds)),
      m_timer(std::make_unique<Timer>(io, [this] { OnTick(); })) {
  m_driver.AddSink([this](const Action& action) { HandleAction(action); });
}

ConfigSync::~ConfigSync() = default;

void ConfigSync::Start() {
  m_started = SteadyNow();
  QueryPlatform();
  m_platform.ListVms([this](const std::vector<VmAddress>& vms) {
    m_driver.Feed(SeedsLearned{vms});
    m_seeds.insert(m_seeds.end(), vms.begin(), vms.end());
    QueryPeers();
  });
  QueryPeers();
  m_timer->Arm();
}

proto::ConfigReply ConfigSync::Answer(
    const proto::ConfigRequest& request) const {
  proto::ConfigReply reply;
  if (request.protocol() != kPeerProtocol || !m_head) {
    return reply;
  }
  reply.set_head(m_head_text);
  for (const HeadFile& file : m_head->m_files) {
    const bool has = std::find(request.have().begin(), request.have().end(),
                               file.m_digest) != request.have().end();
    if (!has) {
      proto::ConfigChunk& chunk = *reply.add_chunks();
      chunk.set_digest(file.m_digest);
      chunk.set_data(m_chunks.at(file.m_digest));
    }
  }
  return reply;
}

bool ConfigSync::IsWatcher() const {
  const Node& node = m_driver.Core();
  const auto& config = node.Config();
  if (!config) {
    return true;
  }
  const auto own = config->FindPlace(node.Identity().m_place);
  const uint64_t weight = WatchWeight(node.Identity().m_name);
  size_t higher_weight_count = 0;
  for (const auto& [name, member] : node.Members().All()) {
    const auto place = config->FindPlace(member.m_record.m_place);
    const bool shares_domain =
        place && own &&
        config->Get(*place).m_domain == config->Get(*own).m_domain;
    if (shares_domain && node.Members().IsAlive(member, SteadyNow()) &&
        WatchWeight(name) > weight) {
      ++higher_weight_count;
    }
  }
  return higher_weight_count < kWatchersPerDomain;
}

void ConfigSync::HandleAction(const Action& action) {
  if (const auto* fetch = std::get_if<FetchConfig>(&action)) {
    QueryPeer(fetch->m_address);
  }
}

void ConfigSync::OnTick() {
  if (!m_head) {
    InstallCandidate();
    if (!m_head) {
      QueryPlatform();
      QueryPeers();
      return;
    }
  }
  if (IsWatcher()) {
    Watch();
  }
}

void ConfigSync::QueryPlatform() {
  if (m_is_querying_platform) {
    return;
  }
  m_is_querying_platform = true;
  m_platform.Get(kHeadKey, [this](const PlatformResult& result) {
    m_is_querying_platform = false;
    m_has_queried_platform = true;
    OnPlatformResponse(result);
  });
}

void ConfigSync::Watch() {
  if (m_is_querying_platform || m_is_downloading) {
    return;
  }
  m_is_querying_platform = true;
  m_platform.Watch(kHeadKey, m_platform_tag, kWatchWait,
                   [this](const PlatformResult& result) {
                     m_is_querying_platform = false;
                     OnPlatformResponse(result);
                     const bool is_up =
                         result.m_end == PlatformOutcome::kDone ||
                         result.m_end == PlatformOutcome::kUnchanged;
                     if (is_up && IsWatcher()) {
                       Watch();
                     }
                   });
}

void ConfigSync::QueryPeers() {
  if (m_seeds.empty() || m_head) {
    return;
  }
  // Two peers per round, in rotation: enough to soon find one that responds,
  // and when all VMs start at once, they don't all query all others.
  for (int count = 0; count < 2; ++count) {
    QueryPeer(m_seeds[m_next_seed++ % m_seeds.size()]);
  }
}

void ConfigSync::QueryPeer(VmAddress peer) {
  proto::ConfigRequest request;
  request.set_protocol(kPeerProtocol);
  for (const auto& [digest, text] : m_chunks) {
    request.add_have(digest);
  }
  m_peers.Config(peer, request,
                 [this](PeerOutcome end, const proto::ConfigReply& reply) {
                   OnPeerReply(end, reply);
                 });
}

void ConfigSync::OnPlatformResponse(const PlatformResult& result) {
  switch (result.m_end) {
    case PlatformOutcome::kDone: {
      SetPlatformUp(true);
      m_platform_tag = result.m_tag;
      const auto head = ParseHead(result.m_value);
      if (!head) {
        m_metrics.CountMalformed("platform");
        LOG(ERROR) << "cannot parse the platform's head record";
        return;
      }
      DownloadChunks(*head);
      return;
    }
    case PlatformOutcome::kMissing:
    case PlatformOutcome::kUnchanged:
      SetPlatformUp(true);
      return;
    default:
      SetPlatformUp(false);
      return;
  }
}

void ConfigSync::OnPeerReply(PeerOutcome end, const proto::ConfigReply& reply) {
  if (end != PeerOutcome::kAnswered || reply.head().empty()) {
    return;
  }
  const auto head = ParseHead(reply.head());
  if (!head) {
    m_metrics.CountMalformed("peer");
    return;
  }
  ConfigFiles files;
  for (const HeadFile& file : head->m_files) {
    const auto sent = std::find_if(
        reply.chunks().begin(), reply.chunks().end(), [&](const auto& chunk) {
          return chunk.digest() == file.m_digest &&
                 DigestOf(chunk.data()) == file.m_digest;
        });
    const auto own = FindChunk(file.m_digest);
    if (sent == reply.chunks().end() && !own) {
      m_metrics.CountMalformed("peer");
      return;
    }
    files.push_back(
        {file.m_name, sent != reply.chunks().end() ? sent->data() : *own});
  }
  AddCandidate(*head, std::move(files));
}

void ConfigSync::DownloadChunks(const Head& head) {
  if (m_is_downloading) {
    return;
  }
  if (head.m_version <= CurrentVersion()) {
    const bool is_lower = head.m_version < CurrentVersion();
    if (is_lower && !m_has_warned_lower_version) {
      m_driver.AddTimelineEvent(
          TimelineKind::kConfigRefused,
          "the platform offers version " +
              std::to_string(head.m_version.Get()) +
              " below the one in force: was it restored?");
    }
    m_has_warned_lower_version = is_lower;
    return;
  }
  m_is_downloading = true;
  FetchNextChunk(
      std::make_shared<ChunkDownload>(ChunkDownload{head, ConfigFiles()}));
}

void ConfigSync::FetchNextChunk(
    const std::shared_ptr<ChunkDownload>& download) {
  while (download->m_files.size() < download->m_head.m_files.size()) {
    const HeadFile& file = download->m_head.m_files[download->m_files.size()];
    const auto own = FindChunk(file.m_digest);
    if (!own) {
      m_platform.Get(
          kChunkPrefix + file.m_digest,
          [this, download, file](const PlatformResult& result) {
            if (result.m_end != PlatformOutcome::kDone ||
                DigestOf(result.m_value) != file.m_digest) {
              // The chunk is missing or corrupt: nothing of this head is
              // installed. Without a tag the next watch, started on the next
              // tick, returns at once.
              m_is_downloading = false;
              m_platform_tag.clear();
              m_metrics.CountMalformed("platform");
              return;
            }
            download->m_files.push_back({file.m_name, result.m_value});
            FetchNextChunk(download);
          });
      return;
    }
    download->m_files.push_back({file.m_name, *own});
  }
  m_is_downloading = false;
  AddCandidate(download->m_head, std::move(download->m_files));
}

void ConfigSync::AddCandidate(const Head& head, ConfigFiles files) {
  const bool is_better =
      head.m_version > CurrentVersion() &&
      (!m_candidate || head.m_version > m_candidate->m_head.m_version);
  if (is_better) {
    m_candidate = Candidate{head, std::move(files)};
  }
  InstallCandidate();
}

void ConfigSync::InstallCandidate() {
  const bool is_settled = m_head || SteadyNow() - m_started > kSettleTime;
  if (!m_candidate || !is_settled) {
    return;
  }
  const Candidate candidate = std::move(*m_candidate);
  m_candidate.reset();
  auto parsed = ParseConfig(candidate.m_files, candidate.m_head.m_version);
  if (const auto* faults = std::get_if<Faults>(&parsed)) {
    // The command that accepted this configuration may be of another release.
    // The configuration in force stays, and the refusal is recorded.
    m_driver.AddTimelineEvent(TimelineKind::kConfigRefused,
                              FormatFault(faults->front()));
    return;
  }
  const auto snapshot =
      std::make_shared<const Snapshot>(std::move(std::get<Snapshot>(parsed)));
  m_driver.Feed(SnapshotInstalled{snapshot});
  if (m_driver.Core().Config() != snapshot) {
    return;
  }
  m_head = candidate.m_head;
  m_head_text = FormatHead(candidate.m_head);
  m_chunks.clear();
  for (const ConfigFile& file : candidate.m_files) {
    m_chunks[DigestOf(file.m_text)] = file.m_text;
  }
}

void ConfigSync::SetPlatformUp(bool is_up) {
  if (is_up != m_is_platform_up) {
    m_driver.AddTimelineEvent(
        is_up ? TimelineKind::kPlatformUp : TimelineKind::kPlatformDown,
        is_up ? "the platform answers again" : "the platform does not answer");
  }
  m_is_platform_up = is_up;
}

std::optional<std::string> ConfigSync::FindChunk(
    const std::string& digest) const {
  const auto it = m_chunks.find(digest);
  return it == m_chunks.end() ? std::nullopt : std::optional(it->second);
}

ConfigVersion ConfigSync::CurrentVersion() const {
  return m_head ? m_head->m_version : ConfigVersion();
}

}  // namespace sorrelplank
