/// @file operator_api.cc Status, timeline and explanations as JSON.

#include "serve/operator_api.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "net/peer_client.h"
#include "platform/platform_client.h"
#include "serve/call_parse_func.h"
#include "serve/clock_func.h"
#include "serve/config_sync.h"
#include "serve/error_response_func.h"
#include "serve/metrics_export.h"
#include "serve/node_driver.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

HttpResponse JsonResponse(const json& body, int status = 200) {
  HttpResponse response;
  response.m_status = status;
  response.m_body = body.dump();
  return response;
}

std::string PlaceName(const Snapshot* config, NameHash place) {
  const auto id = config != nullptr ? config->FindPlace(place) : std::nullopt;
  return id ? config->Get(*id).m_name : "";
}

std::string ServiceName(const Snapshot* config, NameHash service) {
  const auto id =
      config != nullptr ? config->FindService(service) : std::nullopt;
  return id ? config->Get(*id).m_name : "";
}

json SlotsToJson(const Snapshot* config, const std::vector<ServiceSlots>& all) {
  json list = json::array();
  for (const ServiceSlots& slots : all) {
    list.push_back({{"service", ServiceName(config, slots.m_service)},
                    {"held", slots.m_held},
                    {"free", slots.m_free}});
  }
  return list;
}

json MembersToJson(const Snapshot* config, const Membership& members) {
  json list = json::array();
  for (const auto& [name, member] : members.All()) {
    const VmRecord& record = member.m_record;
    list.push_back({{"name", name},
                    {"id", FormatVmId(name, record.m_incarnation)},
                    {"place", PlaceName(config, record.m_place)},
                    {"ip", FormatIp(record.m_address.m_ip)},
                    {"alive", members.IsAlive(member, SteadyNow())},
                    {"ready", record.m_ready},
                    {"leaving", record.m_leaving},
                    {"version", record.m_config_version.Get()},
                    {"slots", SlotsToJson(config, record.m_slots)}});
  }
  return list;
}

json LeavingToJson(const Snapshot* config) {
  json leaving = {{"places", json::array()},
                  {"backend_servers", json::array()},
                  {"entry_vms", json::array()}};
  if (config == nullptr) {
    return leaving;
  }
  for (const Place& place : config->m_places) {
    if (place.m_leaving) {
      leaving["places"].push_back(place.m_name);
    }
  }
  for (const BackendServer& backend : config->m_backends) {
    if (backend.m_leaving) {
      leaving["backend_servers"].push_back(backend.m_name);
    }
  }
  leaving["entry_vms"] = config->m_leaving_vms;
  return leaving;
}

}  // namespace

OperatorApi::OperatorApi(OperatorSources sources, CutOffSetter set_cut_off)
    : m_sources(sources), m_set_cut_off(std::move(set_cut_off)) {}

HttpResponse OperatorApi::Answer(const HttpRequest& request) {
  if (request.m_path == "/v1/fault/cut" && m_set_cut_off) {
    return CutOff(request);
  }
  if (request.m_method != "GET") {
    return MakeError(405, "only GET is served here");
  }
  if (request.m_path == "/v1/status") {
    return Status();
  }
  if (request.m_path == "/v1/timeline") {
    return Timeline(request);
  }
  if (request.m_path == "/v1/explain") {
    return Explain(request);
  }
  if (request.m_path == "/v1/ready") {
    return Ready();
  }
  if (request.m_path == "/metrics") {
    return Metrics();
  }
  return MakeError(404,
                   "known: /v1/status /v1/timeline /v1/explain /v1/ready "
                   "/metrics");
}

HttpResponse OperatorApi::Status() {
  Node& node = m_sources.m_driver.Core();
  const Snapshot* config = node.Config().get();
  const TimePoint now = SteadyNow();
  json held = json::array();
  for (const Node::HeldStatus& status : node.HeldBackends(now)) {
    const auto id = config != nullptr ? config->FindBackend(status.m_backend)
                                      : std::nullopt;
    held.push_back({{"name", id ? config->Get(*id).m_name : "(removed)"},
                    {"slots", status.m_slots},
                    {"in_flight", status.m_in_flight},
                    {"dispatchable", status.m_dispatchable}});
  }
  const NodeIdentity& self = node.Identity();
  return JsonResponse(
      {{"name", self.m_name},
       {"id", FormatVmId(self.m_name, self.m_incarnation)},
       {"place", PlaceName(config, self.m_place)},
       {"version", config != nullptr ? config->m_version.Get() : 0},
       {"ready", node.IsReady()},
       {"stopping", node.IsStopping()},
       {"fenced", node.IsFenced()},
       {"watches_platform", m_sources.m_config_sync.IsWatcher()},
       {"platform_up", m_sources.m_config_sync.IsPlatformUp()},
       {"open_calls", node.OpenCalls()},
       {"queued_calls", node.QueuedCalls()},
       {"slots", SlotsToJson(config, node.Slots(now))},
       {"held", held},
       {"leaving", LeavingToJson(config)},
       {"members", MembersToJson(config, node.Members())}});
}

HttpResponse OperatorApi::Timeline(const HttpRequest& request) const {
  HttpResponse response;
  response.m_body = m_sources.m_driver.Ring().ToJson(
      m_sources.m_driver.Core().Identity().m_name, request.Query());
  return response;
}

HttpResponse OperatorApi::Explain(const HttpRequest& request) {
  Node& node = m_sources.m_driver.Core();
  const auto query = request.Query();
  const auto client = query.find("client");
  const auto service = query.find("service");
  const uint32_t ip = client == query.end() ? 0 : ParseIp(client->second);
  if (ip == 0) {
    return MakeError(400, "client=IPv4 address is needed");
  }
  const Snapshot* config = node.Config().get();
  if (config == nullptr) {
    return MakeError(503, "no configuration yet");
  }
  const LookupAnswer answer = node.Lookup(ip, SteadyNow());
  json rules = json::array();
  rules.push_back(answer.m_home
                      ? "a client block makes " +
                            config->Get(*answer.m_home).m_name + " its home"
                      : "no client block covers it: any place serves it");
  if (answer.m_home && answer.m_place && *answer.m_home != *answer.m_place) {
    rules.push_back("a shift moves it to " +
                    config->Get(*answer.m_place).m_name);
  }
  if (answer.m_place && config->Get(*answer.m_place).m_leaving) {
    rules.push_back(config->Get(*answer.m_place).m_name +
                    " is leaving: entry VMs elsewhere come first");
  }
  json body = {{"lookup", json::parse(LookupToJson(answer, *config))},
               {"rules", rules}};
  if (service != query.end()) {
    const NameHash hash = HashName(service->second);
    if (!config->FindService(hash)) {
      return MakeError(404, "no such service");
    }
    body["slots_here"] = SlotsToJson(config, {node.SlotsOf(hash, SteadyNow())});
  }
  return JsonResponse(body);
}

HttpResponse OperatorApi::Ready() const {
  const bool is_ready = m_sources.m_driver.Core().IsReady();
  return JsonResponse({{"ready", is_ready}}, is_ready ? 200 : 503);
}

HttpResponse OperatorApi::Metrics() {
  HttpResponse response;
  response.m_content_type = "text/plain; version=0.0.4";
  response.m_body = m_sources.m_metrics.Text(
      m_sources.m_driver.Core(), m_sources.m_platform.Calls(),
      m_sources.m_peers.ControlBytes(), SteadyNow());
  return response;
}

HttpResponse OperatorApi::CutOff(const HttpRequest& request) {
  std::set<uint32_t> ips;
  std::stringstream list(request.m_body);
  std::string item;
  while (std::getline(list, item, ',')) {
    ips.insert(ParseIp(item));
  }
  m_set_cut_off(std::move(ips));
  return JsonResponse({{"ok", true}});
}

std::string LookupToJson(const LookupAnswer& answer, const Snapshot& config) {
  json vms = json::array();
  for (const LookupVm& vm : answer.m_vms) {
    vms.push_back({{"name", vm.m_name},
                   {"id", FormatVmId(vm.m_name, vm.m_incarnation)},
                   {"ip", FormatIp(vm.m_ip)},
                   {"port", vm.m_caller_port}});
  }
  return json{
      {"place", answer.m_place ? config.Get(*answer.m_place).m_name : ""},
      {"home", answer.m_home ? config.Get(*answer.m_home).m_name : ""},
      {"ttl_ms",
       std::chrono::duration_cast<milliseconds>(answer.m_ttl).count()},
      {"version", answer.m_version.Get()},
      {"entry_vms", vms}}
      .dump();
}

}  // namespace sorrelplank
