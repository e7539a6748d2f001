/// @file settings.cc Parsing of settings.

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/field_check.h"
#include "config/settings_type.h"
#include "core/invariant_func.h"
#include "table/settings_table.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

template <typename Number>
Number ReadNumber(const json& object, const char* key) {
  if (object.contains(key)) {
    return object[key].get<Number>();
  }
  const FieldRow* row = FindField(kSettingsTable, "", key);
  Invariant(row != nullptr, "each setting that is read is in the table");
  return static_cast<Number>(row->m_default);
}

std::vector<VmAddress> ReadAddresses(const json& object, const char* key) {
  std::vector<VmAddress> addresses;
  if (!object.contains(key)) {
    return addresses;
  }
  for (const json& item : object[key]) {
    VmAddress address;
    ParseAddress(item.get<std::string>(), address.m_ip, address.m_port);
    addresses.push_back(address);
  }
  return addresses;
}

const char* KindName(FieldKind kind) {
  switch (kind) {
    case FieldKind::kBool:
      return "bool";
    case FieldKind::kInteger:
      return "integer";
    case FieldKind::kNumber:
      return "number";
    case FieldKind::kText:
    case FieldKind::kReference:
      return "text";
    case FieldKind::kIp:
      return "ip";
    case FieldKind::kAddressList:
      return "list of ip:port";
    case FieldKind::kNamePair:
      return "pair of names";
  }
  return "";
}

json RowToJson(const FieldRow& row) {
  json entry = {{"key", row.m_key},
                {"kind", KindName(row.m_kind)},
                {"required", row.m_required},
                {"unit", row.m_unit},
                {"help", row.m_help}};
  if (row.m_kind == FieldKind::kInteger) {
    entry["default"] = row.m_default;
    entry["min"] = row.m_min;
    entry["max"] = row.m_max;
  }
  return entry;
}

void PrintRow(const FieldRow& row, std::ostream& out) {
  std::ostringstream range;
  std::ostringstream fallback;
  if (row.m_kind == FieldKind::kInteger) {
    range << std::fixed << std::setprecision(0) << row.m_min << ".."
          << row.m_max;
    fallback << std::fixed << std::setprecision(0) << row.m_default;
  }
  if (row.m_required) {
    fallback.str("required");
  }
  out << std::left << std::setw(19) << row.m_key << std::setw(17)
      << KindName(row.m_kind) << std::setw(10) << fallback.str()
      << std::setw(16) << range.str() << std::setw(11) << row.m_unit
      << row.m_help << "\n";
}

}  // namespace

std::variant<Settings, Faults> ParseSettings(const std::string& text,
                                             const std::string& file) {
  Faults faults;
  const json object = ParseJson(text, file, faults);
  if (faults.empty()) {
    CheckFields(object, kSettingsTable, "", file, "", faults);
    CheckRequired(object, kSettingsTable, "", file, "", faults);
  }
  if (!faults.empty()) {
    return faults;
  }
  return Settings{
      .m_name = object["name"],
      .m_place = object["place"],
      .m_failure_domain = object["failure_domain"],
      .m_region = object["region"],
      .m_ip = object["ip"],
      .m_caller_port = ReadNumber<uint16_t>(object, "caller_port"),
      .m_peer_port = ReadNumber<uint16_t>(object, "peer_port"),
      .m_operator_port = ReadNumber<uint16_t>(object, "operator_port"),
      .m_platform = ReadAddresses(object, "platform"),
      .m_peers = ReadAddresses(object, "peers"),
      .m_timeline_events = ReadNumber<uint32_t>(object, "timeline_events"),
      .m_kept_answer_bytes = ReadNumber<uint32_t>(object, "kept_answer_bytes"),
      .m_max_header_bytes = ReadNumber<uint32_t>(object, "max_header_bytes"),
      .m_fault_switch = ReadNumber<bool>(object, "fault_switch"),
  };
}

std::string PrintSettingsTable(bool as_json) {
  if (as_json) {
    json rows = json::array();
    for (const FieldRow& row : kSettingsTable) {
      rows.push_back(RowToJson(row));
    }
    return rows.dump(2) + "\n";
  }
  std::ostringstream out;
  out << std::left << std::setw(19) << "KEY" << std::setw(17) << "KIND"
      << std::setw(10) << "DEFAULT" << std::setw(16) << "RANGE" << std::setw(11)
      << "UNIT"
      << "MEANING\n";
  for (const FieldRow& row : kSettingsTable) {
    PrintRow(row, out);
  }
  return out.str();
}

}  // namespace sorrelplank
