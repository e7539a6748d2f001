/// @file field_check.cc Table-driven checks of JSON.

#include "config/field_check.h"
#include "config/json_text_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <vector>

#include "core/vm_record_type.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 64;

std::string RangeText(const FieldRow& row) {
  std::ostringstream text;
  text << (row.m_kind == FieldKind::kInteger ? "whole number " : "number ");
  text.precision(12);
  text << row.m_min << " to " << row.m_max;
  if (!row.m_unit.empty()) {
    text << " " << row.m_unit;
  }
  return text.str();
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.';
  });
}

std::string AllowedText(const FieldRow& row) {
  switch (row.m_kind) {
    case FieldKind::kBool:
      return "true or false";
    case FieldKind::kInteger:
    case FieldKind::kNumber:
      return RangeText(row);
    case FieldKind::kText:
      return "1 to 64 letters, digits, '-', '_' or '.'";
    case FieldKind::kReference:
      return "a name in /" + std::string(row.m_refers_to);
    case FieldKind::kIp:
      return "an IPv4 address";
    case FieldKind::kAddressList:
      return "a list of " + RangeText(row).substr(13) + ", each \"IP:PORT\"";
    case FieldKind::kNamePair:
      return "two different names in /" + std::string(row.m_refers_to);
  }
  return "";
}

bool IsInRange(const json& value, const FieldRow& row) {
  const double number = value.get<double>();
  return number >= row.m_min && number <= row.m_max;
}

bool IsAddressList(const json& value, const FieldRow& row) {
  if (!value.is_array() || value.size() < row.m_min ||
      value.size() > row.m_max) {
    return false;
  }
  return std::all_of(value.begin(), value.end(), [](const json& item) {
    uint32_t ip = 0;
    uint16_t port = 0;
    return item.is_string() && ParseAddress(item.get<std::string>(), ip, port);
  });
}

bool IsNamePair(const json& value) {
  return value.is_array() && value.size() == 2 && value[0].is_string() &&
         value[1].is_string() && value[0] != value[1];
}

bool IsValid(const json& value, const FieldRow& row) {
  switch (row.m_kind) {
    case FieldKind::kBool:
      return value.is_boolean();
    case FieldKind::kInteger:
      return value.is_number_integer() && IsInRange(value, row);
    case FieldKind::kNumber:
      return value.is_number() && IsInRange(value, row);
    case FieldKind::kText:
    case FieldKind::kReference:
      return value.is_string() && IsName(value.get<std::string>());
    case FieldKind::kIp:
      return value.is_string() && ParseIp(value.get<std::string>()) != 0;
    case FieldKind::kAddressList:
      return IsAddressList(value, row);
    case FieldKind::kNamePair:
      return IsNamePair(value);
  }
  return false;
}

std::string KnownKeys(std::span<const FieldRow> table,
                      std::string_view section) {
  std::string keys;
  for (const FieldRow& row : table) {
    if (row.m_section == section) {
      keys += (keys.empty() ? "" : ", ") + std::string(row.m_key);
    }
  }
  return keys.empty() ? "no keys" : keys;
}

}  // namespace

const FieldRow* FindField(std::span<const FieldRow> table,
                          std::string_view section,
                          std::string_view key) {
  const auto it =
      std::find_if(table.begin(), table.end(), [&](const FieldRow& row) {
        return row.m_section == section && row.m_key == key;
      });
  return it == table.end() ? nullptr : &*it;
}

void CheckFields(const json& object,
                 std::span<const FieldRow> table,
                 std::string_view section,
                 const std::string& file,
                 const std::string& path,
                 Faults& faults) {
  if (!object.is_object()) {
    faults.push_back({file, path, object.dump(), "is not an object", "{...}"});
    return;
  }
  for (const auto& [key, value] : object.items()) {
    const FieldRow* row = FindField(table, section, key);
    if (row == nullptr) {
      faults.push_back({file, path + "/" + key, "", "unknown key",
                        KnownKeys(table, section)});
    } else if (!IsValid(value, *row)) {
      faults.push_back({file, path + "/" + key, value.dump(), "is not accepted",
                        AllowedText(*row)});
    }
  }
}

void CheckRequired(const json& object,
                   std::span<const FieldRow> table,
                   std::string_view section,
                   const std::string& file,
                   const std::string& path,
                   Faults& faults) {
  if (!object.is_object()) {
    return;
  }
  for (const FieldRow& row : table) {
    if (row.m_section == section && row.m_required &&
        !object.contains(row.m_key)) {
      faults.push_back({file, path + "/" + std::string(row.m_key), "",
                        "is missing", AllowedText(row)});
    }
  }
}

json ParseJson(const std::string& text,
               const std::string& file,
               Faults& faults) {
  if (IsNestedTooDeeply(text)) {
    faults.push_back({file, "", "", "is nested too deeply",
                      "at most " + std::to_string(kMaxJsonDepth) + " levels"});
    return {};
  }
  std::vector<std::set<std::string>> open_objects;
  std::vector<std::string> duplicate_keys;
  const auto find_duplicates = [&](int, json::parse_event_t event,
                                   json& parsed) {
    if (event == json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto key = parsed.get<std::string>();
      if (!open_objects.back().insert(key).second) {
        duplicate_keys.push_back(key);
      }
    }
    return true;
  };
  try {
    json parsed = json::parse(text, find_duplicates);
    for (const std::string& key : duplicate_keys) {
      faults.push_back({file, "", "\"" + key + "\"",
                        "key stands twice in one object", "each key once"});
    }
    return parsed;
  } catch (const json::parse_error& error) {
    faults.push_back({file, "", "",
                      "is not JSON at byte " + std::to_string(error.byte),
                      "JSON text"});
  }
  return {};
}

bool ParseAddress(const std::string& text, uint32_t& ip, uint16_t& port) {
  const size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return false;
  }
  ip = ParseIp(text.substr(0, colon));
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(first, last, port);
  return ip != 0 && port != 0 && result.ec == std::errc() && result.ptr == last;
}

}  // namespace sorrelplank
