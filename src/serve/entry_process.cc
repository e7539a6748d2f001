/// @file entry_process.cc Connects the parts of an entry VM's process.

#include "serve/entry_process.h"

#include <glog/logging.h>

#include <asio.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_client.h"
#include "net/peer_convert_func.h"
#include "net/peer_server.h"
#include "platform/platform_client.h"
#include "proto/peer.pb.h"
#include "serve/call_gateway.h"
#include "serve/clock_func.h"
#include "serve/config_sync.h"
#include "serve/error_response_func.h"
#include "serve/metrics_export.h"
#include "serve/node_driver.h"
#include "serve/operator_api.h"

namespace sorrelplank {

namespace {

constexpr Duration kTickInterval = milliseconds(5);
/// Limit of the HTTP servers; not below any limit a configuration can set.
constexpr size_t kBodyLimitBytes = 4U << 20U;
constexpr std::string_view kCallPath = "/v1/call/";
constexpr std::string_view kLookupPath = "/v1/lookup";

NodeIdentity MakeIdentity(const Settings& settings) {
  const auto started = static_cast<uint64_t>(WallNow().count());
  return {.m_name = settings.m_name,
          .m_place = HashName(settings.m_place),
          .m_address = {ParseIp(settings.m_ip), settings.m_peer_port},
          .m_caller_port = settings.m_caller_port,
          .m_incarnation = Incarnation(started),
          .m_seed = started ^ HashName(settings.m_name).Get()};
}

}  // namespace

class EntryProcess::Impl {
 public:
  explicit Impl(const Settings& settings)
      : m_settings(settings),
        m_signals(m_io, SIGTERM, SIGINT),
        m_tick(m_io),
        m_driver(MakeIdentity(settings), settings.m_timeline_events),
        m_metrics(settings.m_name),
        m_http(m_io),
        m_peers(m_io),
        m_platform(
            settings.m_platform,
            [this](HttpFetch fetch, std::function<void(HttpResult)> done) {
              SendToPlatform(std::move(fetch), std::move(done));
            }),
        m_gateway(m_driver,
                  m_http,
                  m_peers,
                  m_metrics,
                  settings.m_kept_answer_bytes),
        m_config_sync(m_io,
                      m_driver,
                      m_platform,
                      m_peers,
                      m_metrics,
                      settings.m_peers),
        m_operator({m_driver, m_config_sync, m_platform, m_peers, m_metrics},
                   settings.m_fault_switch ? MakeCutOffSetter()
                                           : OperatorApi::CutOffSetter()),
        m_peer_server(m_io,
                      settings.m_ip,
                      settings.m_peer_port,
                      MakePeerHandlers()),
        m_caller_server(
            m_io,
            settings.m_ip,
            settings.m_caller_port,
            {kBodyLimitBytes, settings.m_max_header_bytes},
            [this](HttpRequest request, HttpReply reply) {
              ServeCaller(std::move(request), std::move(reply));
            },
            [this](uint64_t connection) {
              m_gateway.CallerClosed(connection);
            }),
        m_operator_server(
            m_io,
            settings.m_ip,
            settings.m_operator_port,
            {kBodyLimitBytes, settings.m_max_header_bytes},
            [this](const HttpRequest& request, const HttpReply& reply) {
              reply(m_operator.Answer(request));
            }) {
    m_driver.AddSink([this](const Action& action) { HandleAction(action); });
  }

  void Run() {
    m_driver.AddTimelineEvent(TimelineKind::kStarted, m_settings.m_name);
    m_driver.Feed(SeedsLearned{m_settings.m_peers});
    m_config_sync.Start();
    m_signals.async_wait([this](std::error_code error, int) {
      if (!error) {
        m_driver.Feed(StopRequested{});
      }
    });
    ArmTick();
    m_io.run();
  }

 private:
  void ArmTick() {
    m_tick.expires_after(kTickInterval);
    m_tick.async_wait([this](std::error_code error) {
      if (!error) {
        m_driver.Feed(Tick{});
        ArmTick();
      }
    });
  }

  void ServeCaller(HttpRequest request, HttpReply reply) {
    if (request.m_path == kLookupPath) {
      reply(AnswerLookup(request));
      return;
    }
    if (request.m_path.starts_with(kCallPath)) {
      m_gateway.AcceptCall(std::move(request), std::move(reply));
      return;
    }
    reply(MakeError(404, "known: /v1/lookup and /v1/call/SERVICE/PATH"));
  }

  HttpResponse AnswerLookup(const HttpRequest& request) {
    if (request.m_method != "GET") {
      return MakeError(405, "a lookup is a GET");
    }
    uint32_t ip = request.m_remote_ip;
    const auto query = request.Query();
    const auto client = query.find("client");
    if (client != query.end()) {
      ip = ParseIp(client->second);
    }
    if (ip == 0) {
      m_metrics.CountMalformed("caller");
      return MakeError(400, "client is no IPv4 address");
    }
    const auto& config = m_driver.Core().Config();
    if (!config) {
      HttpResponse response = MakeError(503, "not_ready");
      response.m_headers.emplace_back("Retry-After", "1");
      return response;
    }
    m_metrics.CountLookup();
    HttpResponse response;
    response.m_body =
        LookupToJson(m_driver.Core().Lookup(ip, SteadyNow()), *config);
    return response;
  }

  PeerHandlers MakePeerHandlers() {
    PeerHandlers handlers;
    handlers.m_gossip = [this](const proto::GossipMessage& message) {
      return HandleGossip(message);
    };
    handlers.m_hand_on = [this](uint64_t call,
                                const proto::HandOnRequest& request,
                                PeerHandlers::Done<proto::HandOnReply> done) {
      m_gateway.AcceptHandOn(call, request, std::move(done));
    };
    handlers.m_hand_on_cancelled = [this](uint64_t call) {
      m_gateway.HandOnCancelled(call);
    };
    handlers.m_slots = [this](const proto::SlotNotice& notice) {
      if (notice.protocol() == kPeerProtocol) {
        m_driver.Feed(SlotNoticeArrived{
            notice.from(), FromProto(notice.slots()), notice.wants()});
      }
    };
    handlers.m_seen = [this](const proto::SeenRequest& request) {
      return m_gateway.AnswerSeen(request);
    };
    handlers.m_config = [this](const proto::ConfigRequest& request) {
      return m_config_sync.Answer(request);
    };
    return handlers;
  }

  proto::GossipMessage HandleGossip(const proto::GossipMessage& message) {
    proto::GossipMessage reply;
    if (message.protocol() != kPeerProtocol) {
      m_metrics.CountMalformed("peer");
      return reply;
    }
    const auto from = ParseRecords(message);
    if (from.empty() || m_cut_off_ips.contains(from.front().m_address.m_ip)) {
      return reply;
    }
    m_driver.Feed(GossipArrived{from});
    FillGossip(m_driver.Core().AnswerGossip(from.front(), message.wants_all(),
                                            SteadyNow()),
               reply);
    return reply;
  }

  std::vector<VmRecord> ParseRecords(const proto::GossipMessage& message) {
    m_driver.Clock().Observe(message.hlc());
    std::vector<VmRecord> records;
    for (const proto::VmRecord& item : message.records()) {
      if (auto record = FromProto(item)) {
        records.push_back(std::move(*record));
      } else {
        m_metrics.CountMalformed("peer");
      }
    }
    return records;
  }

  void FillGossip(const std::vector<VmRecord>& records,
                  proto::GossipMessage& message) {
    message.set_protocol(kPeerProtocol);
    message.set_from(m_settings.m_name);
    message.set_hlc(m_driver.NextStamp());
    for (const VmRecord& record : records) {
      ToProto(record, *message.add_records());
    }
  }

  void HandleAction(const Action& action) {
    if (const auto* gossip = std::get_if<SendGossip>(&action)) {
      proto::GossipMessage message;
      FillGossip(gossip->m_records, message);
      message.set_wants_all(gossip->m_wants_all);
      m_peers.Gossip(
          gossip->m_address, message,
          [this](PeerOutcome end, const proto::GossipMessage& reply) {
            if (end == PeerOutcome::kAnswered && reply.records_size() > 0) {
              m_driver.Feed(GossipArrived{ParseRecords(reply)});
            }
          });
    } else if (const auto* slots = std::get_if<SendSlotNotice>(&action)) {
      proto::SlotNotice notice;
      notice.set_protocol(kPeerProtocol);
      notice.set_from(m_settings.m_name);
      ToProto(slots->m_slots, *notice.mutable_slots());
      notice.set_wants(slots->m_is_slot_request);
      m_peers.Slots(slots->m_address, notice);
    } else if (std::holds_alternative<ExitProcess>(action)) {
      m_io.stop();
    }
  }

  void SendToPlatform(HttpFetch fetch, std::function<void(HttpResult)> done) {
    const bool is_cut_off =
        std::any_of(m_settings.m_platform.begin(), m_settings.m_platform.end(),
                    [this](const VmAddress& to) {
                      return m_cut_off_ips.contains(to.m_ip);
                    });
    if (is_cut_off) {
      asio::post(m_io, [done = std::move(done)] { done(HttpResult()); });
      return;
    }
    m_http.Start(std::move(fetch), std::move(done));
  }

  OperatorApi::CutOffSetter MakeCutOffSetter() {
    m_gateway.SetCutOffCheck(
        [this](uint32_t ip) { return m_cut_off_ips.contains(ip); });
    return [this](std::set<uint32_t> ips) {
      m_cut_off_ips = ips;
      m_peers.SetCutOffIps(std::move(ips));
    };
  }

  Settings m_settings;
  asio::io_context m_io{1};
  asio::signal_set m_signals;
  asio::steady_timer m_tick;
  std::set<uint32_t> m_cut_off_ips;
  NodeDriver m_driver;
  MetricsExport m_metrics;
  HttpClient m_http;
  PeerClient m_peers;
  PlatformClient m_platform;
  CallGateway m_gateway;
  ConfigSync m_config_sync;
  OperatorApi m_operator;
  PeerServer m_peer_server;
  HttpServer m_caller_server;
  HttpServer m_operator_server;
};

EntryProcess::EntryProcess(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}

EntryProcess::~EntryProcess() = default;

void EntryProcess::Run() {
  m_impl->Run();
}

}  // namespace sorrelplank
