/// @file fleet_reader.cc Finding and reading entry VMs.

#include "cli/fleet_reader.h"
#include "config/json_text_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sorrelplank {

namespace {

using nlohmann::json;

json ReadJson(BlockingHttp& http, VmAddress address, const std::string& path) {
  const HttpResult result = http.Get(address, path);
  if (result.m_end != FetchOutcome::kAnswered) {
    return json();
  }
  json body = TryParseJsonText(result.m_response.m_body);
  return body.is_discarded() ? json() : body;
}

}  // namespace

FleetReader::FleetReader(BlockingHttp& http, const std::vector<VmAddress>& via)
    : m_http(http) {
  for (const VmAddress& address : via) {
    const json status = ReadJson(http, address, "/v1/status");
    if (!status.is_object()) {
      continue;
    }
    m_addresses.push_back(address);
    for (const json& member : status["members"]) {
      const uint32_t ip = ParseIp(member.value("ip", ""));
      const VmAddress other{ip, address.m_port};
      const bool is_known = std::find(m_addresses.begin(), m_addresses.end(),
                                      other) != m_addresses.end();
      if (ip != 0 && !is_known && member.value("alive", false)) {
        m_addresses.push_back(other);
      }
    }
    return;
  }
}

std::vector<json> FleetReader::ReadAll(const std::string& path) {
  std::vector<json> responses;
  for (const VmAddress& address : m_addresses) {
    json response = ReadJson(m_http, address, path);
    if (!response.is_null()) {
      responses.push_back(std::move(response));
    }
  }
  return responses;
}

std::string MakeQuery(
    const std::vector<std::pair<std::string, std::string>>& values) {
  std::string query;
  for (const auto& [name, value] : values) {
    if (!value.empty()) {
      query += (query.empty() ? "?" : "&") + name + "=" + value;
    }
  }
  return query;
}

}  // namespace sorrelplank
