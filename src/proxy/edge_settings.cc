/// @file edge_settings.cc Parsing of the JSON settings file.

#include <nlohmann/json.hpp>

#include "config/field_check.h"
#include "proxy/edge_settings_type.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

/// Reads typed fields of a JSON object and collects validation errors.
class SettingsReader {
 public:
  SettingsReader(const json& object,
                 std::string file,
                 std::string path,
                 Faults& faults)
      : m_object(object),
        m_file(std::move(file)),
        m_path(std::move(path)),
        m_faults(faults) {}

  bool Has(const char* key) const { return Find(key) != nullptr; }
  bool HasValue(const char* key) const {
    return Has(key) && !Find(key)->is_null();
  }

  std::string Text(const char* key) const {
    const json* value = Find(key);
    if (value == nullptr || !value->is_string() ||
        value->get<std::string>().empty()) {
      AddFault(key, value, "a non-empty string");
      return "";
    }
    return value->get<std::string>();
  }

  VmAddress Address(const char* key) const {
    VmAddress address;
    const json* value = Find(key);
    const bool is_address =
        value != nullptr && value->is_string() &&
        ParseAddress(value->get<std::string>(), address.m_ip, address.m_port);
    if (!is_address) {
      AddFault(key, value, "IP:PORT");
    }
    return address;
  }

  double Number(const char* key, double min_value, double max_value) const {
    const json* value = Find(key);
    const bool is_in_range = value != nullptr && value->is_number() &&
                             value->get<double>() >= min_value &&
                             value->get<double>() <= max_value;
    if (!is_in_range) {
      AddFault(key, value,
               "a number from " + std::to_string(min_value) + " to " +
                   std::to_string(max_value));
      return min_value;
    }
    return value->get<double>();
  }

  Duration Seconds(const char* key, double max_value) const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Number(key, 0, max_value)));
  }

  std::map<std::string, std::string> TextMap(const char* key) const {
    std::map<std::string, std::string> texts;
    const json* value = Find(key);
    if (value == nullptr || !value->is_object() || value->empty()) {
      AddFault(key, value, "a non-empty object of strings");
      return texts;
    }
    for (const auto& [name, text] : value->items()) {
      if (text.is_string()) {
        texts[name] = text.get<std::string>();
      } else {
        AddFault(key, value, "an object of strings");
      }
    }
    return texts;
  }

 private:
  const json* Find(const char* key) const {
    const auto it = m_object.find(key);
    return it == m_object.end() ? nullptr : &*it;
  }

  void AddFault(const char* key, const json* value, std::string allowed) const {
    m_faults.push_back({m_file, m_path + "/" + key,
                        value == nullptr ? "" : value->dump(),
                        value == nullptr ? "is missing" : "is not allowed",
                        std::move(allowed)});
  }

  const json& m_object;
  std::string m_file;
  std::string m_path;
  Faults& m_faults;
};

/// Upper bounds of settings. They are wide and only catch a wrong unit.
constexpr double kMaxSeconds = 600;
constexpr double kMaxCount = 1e6;
constexpr double kMaxMemoryMb = 1e6;

/// The platform's megabytes may be of 2^20 bytes; the smaller unit is safe.
constexpr double kBytesPerMb = 1e6;

/// These settings are absent in a deployment without quotas.
QuotaBounds ReadQuotas(const SettingsReader& reader) {
  QuotaBounds bounds;
  if (reader.Has("quota_window_s")) {
    bounds.m_window = reader.Seconds("quota_window_s", kMaxSeconds);
    bounds.m_excess = reader.Number("quota_excess", 0, kMaxCount);
    bounds.m_slack = reader.Number("quota_slack", 0, kMaxCount);
  }
  return bounds;
}

/// These settings are absent if the size of the VM is unknown.
VmCapacity ReadCapacity(const SettingsReader& reader) {
  VmCapacity capacity;
  if (reader.Has("cpu_share")) {
    // Normalise to cores of standard speed: those of this VM may be faster.
    capacity.m_cores = reader.Number("cpu_share", 0, kMaxCount) *
                       reader.Number("cpu_speed", 0, kMaxCount);
    capacity.m_link_mbps = reader.Number("link_mbps", 0, kMaxCount);
  }
  return capacity;
}

/// The ratio is optional; 0 turns the decisions for uneven services off.
double ReadUnevenCapacityRatio(const SettingsReader& reader) {
  return reader.Has("uneven_capacity_ratio")
             ? reader.Number("uneven_capacity_ratio", 0, kMaxCount)
             : SteeringSettings{}.m_uneven_capacity_ratio;
}

/// This setting is absent, or null, if the memory of the VM is unknown.
size_t ReadMemory(const SettingsReader& reader) {
  if (!reader.HasValue("memory_mb")) {
    return 0;
  }
  return static_cast<size_t>(reader.Number("memory_mb", 1, kMaxMemoryMb) *
                             kBytesPerMb);
}

/// This setting is absent, or null, if only the system limits descriptors.
size_t ReadDescriptors(const SettingsReader& reader) {
  if (!reader.HasValue("max_descriptors")) {
    return 0;
  }
  return static_cast<size_t>(reader.Number("max_descriptors", 1, kMaxCount));
}

SteeringSettings ReadSteering(const SettingsReader& reader) {
  return SteeringSettings{
      .m_vm = reader.Text("vm"),
      .m_failure_domain = reader.Text("failure_domain"),
      .m_region = reader.Text("region"),
      .m_regions = reader.TextMap("failure_domains"),
      .m_retry_ratio = reader.Number("retry_ratio", 0, 1),
      .m_retry_extra = reader.Number("retry_extra", 0, kMaxCount),
      .m_retry_window = reader.Seconds("retry_window_s", kMaxSeconds),
      .m_cold_factor = reader.Number("cold_factor", 0, kMaxCount),
      .m_cold_slack = reader.Number("cold_slack", 0, kMaxCount),
      .m_max_shift = reader.Number("most_shift", 0, 1),
      .m_uneven_capacity_ratio = ReadUnevenCapacityRatio(reader),
      .m_quotas = ReadQuotas(reader),
  };
}

}  // namespace

std::variant<EdgeSettings, Faults> ParseEdgeSettings(const std::string& text,
                                                     const std::string& file) {
  Faults faults;
  const json object = ParseJson(text, file, faults);
  if (faults.empty() && !object.is_object()) {
    faults.push_back({file, "/", "", "is not an object", "a JSON object"});
  }
  if (!faults.empty()) {
    return faults;
  }
  const SettingsReader reader(object, file, "", faults);
  EdgeSettings settings{
      .m_steering = ReadSteering(reader),
      .m_capacity = ReadCapacity(reader),
      .m_memory_bytes = ReadMemory(reader),
      .m_max_descriptors = ReadDescriptors(reader),
      .m_client_address = reader.Address("client_address"),
      .m_ready_address = reader.Address("ready_address"),
      .m_directory_address = reader.Address("directory_address"),
      .m_metrics_address = reader.Address("metrics_address"),
      .m_exchange_address = reader.Address("exchange_address"),
      .m_feed_address = reader.Address("feed_address"),
      .m_quota_address = reader.Address("quota_address"),
      .m_peer_address = reader.Address("peer_address"),
      .m_store_address = reader.Address("store_address"),
      .m_shortest_lease = reader.Seconds("shortest_lease_s", kMaxSeconds),
      .m_longest_ttl = reader.Seconds("longest_ttl_s", kMaxSeconds),
      .m_config_apply = reader.Seconds("config_apply_s", kMaxSeconds),
      .m_drain = reader.Seconds("drain_s", kMaxSeconds),
      .m_stop_grace = reader.Seconds("stop_grace_s", kMaxSeconds),
  };
  const auto& domains = settings.m_steering.m_regions;
  const auto own = domains.find(settings.m_steering.m_failure_domain);
  if (faults.empty() && own == domains.end()) {
    faults.push_back({file, "/failure_domain",
                      settings.m_steering.m_failure_domain, "is not listed",
                      "a key of /failure_domains"});
  }
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

}  // namespace sorrelplank
