/// @file config_spread.cc Watching, fetching and installing.

#include "serve/config_spread.h"

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
constexpr Duration kStep = milliseconds(500);
/// A starting entry VM waits this long for better offers before it installs
/// what it has, so that it does not start with an old version of one peer.
constexpr Duration kSettleTime = milliseconds(1000);

uint64_t WatchWeight(const VmName& vm) {
  return XXH3_64bits_withSeed(vm.data(), vm.size(), 0x57a7c4);
}

}  // namespace

/// Repeats a step until it is destroyed.
class ConfigSpread::Timer {
 public:
  Timer(asio::io_context& io, std::function<void()> step)
      : m_timer(io), m_step(std::move(step)) {}

  void Arm() {
    m_timer.expires_after(kStep);
    m_timer.async_wait([this](std::error_code error) {
      if (!error) {
        m_step();
        Arm();
      }
    });
  }

 private:
  asio::steady_timer m_timer;
  std::function<void()> m_step;
};

/// Chunks of one head, fetched one after the other.
struct ConfigSpread::Collecting {
  Head m_head;
  ConfigFiles m_files;
};

ConfigSpread::ConfigSpread(asio::io_context& io,
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
  m_driver.AddSink([this](const Action& action) { Take(action); });
}

ConfigSpread::~ConfigSpread() = default;

void ConfigSpread::Start() {
  m_started = SteadyNow();
  AskPlatform();
  m_platform.ListVms([this](const std::vector<VmAddress>& vms) {
    m_driver.Feed(SeedsLearned{vms});
    m_seeds.insert(m_seeds.end(), vms.begin(), vms.end());
    AskPeers();
  });
  AskPeers();
  m_timer->Arm();
}

proto::ConfigReply ConfigSpread::Answer(
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

bool ConfigSpread::IsWatcher() const {
  const Node& node = m_driver.Core();
  const auto& config = node.Config();
  if (!config) {
    return true;
  }
  const auto own = config->FindPlace(node.Identity().m_place);
  const uint64_t weight = WatchWeight(node.Identity().m_name);
  size_t heavier = 0;
  for (const auto& [name, member] : node.Members().All()) {
    const auto place = config->FindPlace(member.m_record.m_place);
    const bool shares_domain =
        place && own &&
        config->Get(*place).m_domain == config->Get(*own).m_domain;
    if (shares_domain && node.Members().IsAlive(member, SteadyNow()) &&
        WatchWeight(name) > weight) {
      ++heavier;
    }
  }
  return heavier < kWatchersPerDomain;
}

void ConfigSpread::Take(const Action& action) {
  if (const auto* fetch = std::get_if<FetchConfig>(&action)) {
    AskPeer(fetch->m_address);
  }
}

void ConfigSpread::OnTick() {
  if (!m_head) {
    InstallBest();
    if (!m_head) {
      AskPlatform();
      AskPeers();
      return;
    }
  }
  if (IsWatcher()) {
    Watch();
  }
}

void ConfigSpread::AskPlatform() {
  if (m_is_asking_platform) {
    return;
  }
  m_is_asking_platform = true;
  m_platform.Get(kHeadKey, [this](const PlatformResult& result) {
    m_is_asking_platform = false;
    m_platform_asked = true;
    PlatformAnswered(result);
  });
}

void ConfigSpread::Watch() {
  if (m_is_asking_platform || m_is_collecting) {
    return;
  }
  m_is_asking_platform = true;
  m_platform.Watch(kHeadKey, m_platform_tag, kWatchWait,
                   [this](const PlatformResult& result) {
                     m_is_asking_platform = false;
                     PlatformAnswered(result);
                     const bool is_up =
                         result.m_end == PlatformOutcome::kDone ||
                         result.m_end == PlatformOutcome::kUnchanged;
                     if (is_up && IsWatcher()) {
                       Watch();
                     }
                   });
}

void ConfigSpread::AskPeers() {
  if (m_seeds.empty() || m_head) {
    return;
  }
  // Two at a time, in turn: enough to find one that answers soon, and a fleet
  // that starts at once does not ask everybody of everybody.
  for (int count = 0; count < 2; ++count) {
    AskPeer(m_seeds[m_next_seed++ % m_seeds.size()]);
  }
}

void ConfigSpread::AskPeer(VmAddress peer) {
  proto::ConfigRequest request;
  request.set_protocol(kPeerProtocol);
  for (const auto& [digest, text] : m_chunks) {
    request.add_have(digest);
  }
  m_peers.Config(peer, request,
                 [this](PeerOutcome end, const proto::ConfigReply& reply) {
                   PeerAnswered(end, reply);
                 });
}

void ConfigSpread::PlatformAnswered(const PlatformResult& result) {
  switch (result.m_end) {
    case PlatformOutcome::kDone: {
      NotePlatform(true);
      m_platform_tag = result.m_tag;
      const auto head = ParseHead(result.m_value);
      if (!head) {
        m_metrics.CountMalformed("platform");
        LOG(ERROR) << "the platform's head record is damaged";
        return;
      }
      Collect(*head);
      return;
    }
    case PlatformOutcome::kMissing:
    case PlatformOutcome::kUnchanged:
      NotePlatform(true);
      return;
    default:
      NotePlatform(false);
      return;
  }
}

void ConfigSpread::PeerAnswered(PeerOutcome end,
                                const proto::ConfigReply& reply) {
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
  Offer(*head, std::move(files));
}

void ConfigSpread::Collect(const Head& head) {
  if (m_is_collecting) {
    return;
  }
  if (head.m_version <= OwnVersion()) {
    const bool is_lower = head.m_version < OwnVersion();
    if (is_lower && !m_warned_lower) {
      m_driver.Note(TimelineKind::kConfigRefused,
                    "the platform offers version " +
                        std::to_string(head.m_version.Get()) +
                        " below the one in force: was it restored?");
    }
    m_warned_lower = is_lower;
    return;
  }
  m_is_collecting = true;
  FetchNextChunk(std::make_shared<Collecting>(Collecting{head, ConfigFiles()}));
}

void ConfigSpread::FetchNextChunk(const std::shared_ptr<Collecting>& work) {
  while (work->m_files.size() < work->m_head.m_files.size()) {
    const HeadFile& file = work->m_head.m_files[work->m_files.size()];
    const auto own = FindChunk(file.m_digest);
    if (!own) {
      m_platform.Get(kChunkPrefix + file.m_digest,
                     [this, work, file](const PlatformResult& result) {
                       if (result.m_end != PlatformOutcome::kDone ||
                           DigestOf(result.m_value) != file.m_digest) {
                         // Missing or damaged: nothing of this head comes into
                         // force. Forgetting the tag makes the next watch
                         // return at once, after the tick's pause.
                         m_is_collecting = false;
                         m_platform_tag.clear();
                         m_metrics.CountMalformed("platform");
                         return;
                       }
                       work->m_files.push_back({file.m_name, result.m_value});
                       FetchNextChunk(work);
                     });
      return;
    }
    work->m_files.push_back({file.m_name, *own});
  }
  m_is_collecting = false;
  Offer(work->m_head, std::move(work->m_files));
}

void ConfigSpread::Offer(const Head& head, ConfigFiles files) {
  const bool is_better =
      head.m_version > OwnVersion() &&
      (!m_candidate || head.m_version > m_candidate->m_head.m_version);
  if (is_better) {
    m_candidate = Candidate{head, std::move(files)};
  }
  InstallBest();
}

void ConfigSpread::InstallBest() {
  const bool is_settled = m_head || SteadyNow() - m_started > kSettleTime;
  if (!m_candidate || !is_settled) {
    return;
  }
  const Candidate candidate = std::move(*m_candidate);
  m_candidate.reset();
  auto parsed = ParseConfig(candidate.m_files, candidate.m_head.m_version);
  if (const auto* faults = std::get_if<Faults>(&parsed)) {
    // Accepted by an operator's command of another release, perhaps. We keep
    // serving by what we have, and say so.
    m_driver.Note(TimelineKind::kConfigRefused, FormatFault(faults->front()));
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

void ConfigSpread::NotePlatform(bool is_up) {
  if (is_up != m_platform_up) {
    m_driver.Note(
        is_up ? TimelineKind::kPlatformUp : TimelineKind::kPlatformDown,
        is_up ? "the platform answers again" : "the platform does not answer");
  }
  m_platform_up = is_up;
}

std::optional<std::string> ConfigSpread::FindChunk(
    const std::string& digest) const {
  const auto it = m_chunks.find(digest);
  return it == m_chunks.end() ? std::nullopt : std::optional(it->second);
}

ConfigVersion ConfigSpread::OwnVersion() const {
  return m_head ? m_head->m_version : ConfigVersion();
}

}  // namespace sorrelplank
