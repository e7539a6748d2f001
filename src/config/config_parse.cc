/// @file config_parse.cc Merging and checking of configuration files.

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/config_parse_func.h"
#include "config/field_check.h"
#include "core/vm_record_type.h"
#include "table/config_table.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

constexpr std::string_view kPolicy = "policy";
constexpr std::string_view kClientBlocks = "client_blocks";

/// File that last set an entry, by "/section/name".
using Origins = std::map<std::string, std::string>;

bool IsSection(const std::string& key) {
  return std::find(std::begin(kConfigSections), std::end(kConfigSections),
                   key) != std::end(kConfigSections);
}

std::string SectionList() {
  std::string list;
  for (const std::string_view section : kConfigSections) {
    list += (list.empty() ? "" : ", ") + std::string(section);
  }
  return list;
}

void CheckEntryName(const std::string& name,
                    const std::string& file,
                    const std::string& path,
                    Faults& faults) {
  const bool is_plain =
      !name.empty() && name.size() <= 64 &&
      name.find_first_not_of(
          "abcdefghijklmnopqrstuvwxyz"
          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
  if (!is_plain) {
    faults.push_back({file, path, "\"" + name + "\"", "is no name",
                      "1 to 64 letters, digits, '-', '_' or '.'"});
  }
}

void CheckClientBlocks(const json& blocks,
                       const std::string& file,
                       Faults& faults) {
  for (const auto& [block, place] : blocks.items()) {
    const std::string path = "/client_blocks/" + block;
    uint32_t address = 0;
    uint8_t prefix = 0;
    if (!ParseBlock(block, address, prefix)) {
      faults.push_back(
          {file, path, "", "is no client block",
           "A.B.C.D/N with N 0 to 32 and no bits set after the prefix"});
    }
    if (!place.is_string()) {
      faults.push_back(
          {file, path, place.dump(), "is not accepted", "a name in /places"});
    }
  }
}

/// Checks a single file, and records which entries it sets.
void CheckFile(const json& root,
               const std::string& file,
               Origins& origins,
               Faults& faults) {
  if (!root.is_object()) {
    faults.push_back({file, "", root.dump(), "is not an object", "{...}"});
    return;
  }
  for (const auto& [section, content] : root.items()) {
    const std::string path = "/" + section;
    if (!IsSection(section)) {
      faults.push_back({file, path, "", "unknown section", SectionList()});
      continue;
    }
    if (!content.is_object()) {
      faults.push_back(
          {file, path, content.dump(), "is not an object", "{...}"});
      continue;
    }
    if (section == kPolicy) {
      CheckFields(content, kConfigTable, kPolicy, file, path, faults);
      continue;
    }
    if (section == kClientBlocks) {
      CheckClientBlocks(content, file, faults);
      continue;
    }
    for (const auto& [name, entry] : content.items()) {
      const std::string entry_path = path + "/" + name;
      CheckEntryName(name, file, entry_path, faults);
      CheckFields(entry, kConfigTable, section, file, entry_path, faults);
      origins[entry_path] = file;
    }
  }
}

void Merge(json& into, const json& from) {
  for (const auto& [section, content] : from.items()) {
    for (const auto& [name, entry] : content.items()) {
      json& target = into[section][name];
      if (target.is_object() && entry.is_object()) {
        target.update(entry);
      } else {
        target = entry;
      }
    }
  }
}

/// Checks the merged configuration: required fields, references between
/// entries, and conflicts such as equal addresses.
class MergedCheck {
 public:
  MergedCheck(const json& merged, const Origins& origins, Faults& faults)
      : m_merged(merged), m_origins(origins), m_faults(faults) {}

  void Run() {
    for (const auto& [section, content] : m_merged.items()) {
      if (section == kPolicy || section == kClientBlocks) {
        continue;
      }
      CheckHashes(section, content);
      for (const auto& [name, entry] : content.items()) {
        const std::string path = "/" + section + "/" + name;
        CheckRequired(entry, kConfigTable, section, FileOf(path), path,
                      m_faults);
        CheckReferences(section, path, entry);
      }
    }
    CheckBlockPlaces();
    CheckBackendAddresses();
    CheckShifts();
  }

 private:
  std::string FileOf(const std::string& path) const {
    const auto it = m_origins.find(path);
    return it == m_origins.end() ? "(merged)" : it->second;
  }

  bool Has(std::string_view section, const std::string& name) const {
    return m_merged.contains(section) && m_merged[section].contains(name);
  }

  void RequireName(std::string_view section,
                   const std::string& name,
                   const std::string& file,
                   const std::string& path) {
    if (!Has(section, name)) {
      m_faults.push_back({file, path, "\"" + name + "\"", "refers to nothing",
                          "a name in /" + std::string(section)});
    }
  }

  void CheckReferences(const std::string& section,
                       const std::string& path,
                       const json& entry) {
    for (const FieldRow& row : kConfigTable) {
      if (row.m_section != section || !entry.contains(row.m_key)) {
        continue;
      }
      const std::string field_path = path + "/" + std::string(row.m_key);
      const json& value = entry[std::string(row.m_key)];
      if (row.m_kind == FieldKind::kReference) {
        RequireName(row.m_refers_to, value, FileOf(path), field_path);
      } else if (row.m_kind == FieldKind::kNamePair) {
        RequireName(row.m_refers_to, value[0], FileOf(path), field_path);
        RequireName(row.m_refers_to, value[1], FileOf(path), field_path);
      }
    }
  }

  /// Messages between entry VMs carry hashes of names; with equal hashes, two
  /// entries would be confused.
  void CheckHashes(const std::string& section, const json& content) {
    std::map<NameHash, std::string> seen;
    for (const auto& [name, entry] : content.items()) {
      const auto [it, is_new] = seen.emplace(HashName(name), name);
      if (!is_new) {
        const std::string path = "/" + section + "/" + name;
        m_faults.push_back({FileOf(path), path, "",
                            "its hash equals that of " + it->second,
                            "another name"});
      }
    }
  }

  void CheckBlockPlaces() {
    if (!m_merged.contains(kClientBlocks)) {
      return;
    }
    for (const auto& [block, place] :
         m_merged[std::string(kClientBlocks)].items()) {
      RequireName("places", place, "(merged)", "/client_blocks/" + block);
    }
  }

  void CheckBackendAddresses() {
    if (!m_merged.contains("backend_servers")) {
      return;
    }
    std::map<std::string, std::string> seen;
    for (const auto& [name, entry] : m_merged["backend_servers"].items()) {
      if (!entry.contains("ip") || !entry.contains("port")) {
        continue;
      }
      const std::string address =
          entry["ip"].get<std::string>() + ":" + entry["port"].dump();
      const auto [it, is_new] = seen.emplace(address, name);
      if (!is_new) {
        const std::string path = "/backend_servers/" + name;
        m_faults.push_back({FileOf(path), path, address,
                            "stands at the address of " + it->second,
                            "an address of its own"});
      }
    }
  }

  void CheckShifts() {
    if (!m_merged.contains("shifts")) {
      return;
    }
    std::map<std::string, uint32_t> percent;
    for (const auto& [name, entry] : m_merged["shifts"].items()) {
      const std::string path = "/shifts/" + name;
      if (!entry.contains("from") || !entry.contains("to") ||
          !entry.contains("percent")) {
        continue;
      }
      if (entry["from"] == entry["to"]) {
        m_faults.push_back({FileOf(path), path, entry["to"].dump(),
                            "moves callers to where they are",
                            "two different places"});
      }
      uint32_t& sum = percent[entry["from"].get<std::string>()];
      sum += entry["percent"].get<uint32_t>();
      if (sum > 100) {
        m_faults.push_back({FileOf(path), path + "/percent",
                            std::to_string(sum),
                            "shifts of one place add up to too much",
                            "100 % over all shifts from a place"});
      }
    }
  }

  const json& m_merged;
  const Origins& m_origins;
  Faults& m_faults;
};

}  // namespace

std::variant<Snapshot, Faults> ParseConfig(const ConfigFiles& files,
                                           ConfigVersion version) {
  Faults faults;
  Origins origins;
  json merged = json::object();
  for (const ConfigFile& file : files) {
    const size_t before = faults.size();
    const json root = ParseJson(file.m_text, file.m_name, faults);
    if (faults.size() == before) {
      CheckFile(root, file.m_name, origins, faults);
    }
    if (faults.size() == before) {
      Merge(merged, root);
    }
  }
  if (files.empty()) {
    faults.push_back({"(folder)", "", "", "has no files", "at least one"});
  }
  if (faults.empty()) {
    MergedCheck(merged, origins, faults).Run();
  }
  if (!faults.empty()) {
    return faults;
  }
  return BuildSnapshot(merged, version);
}

bool ParseBlock(const std::string& text, uint32_t& address, uint8_t& prefix) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos) {
    return false;
  }
  const std::string ip = text.substr(0, slash);
  address = ParseIp(ip);
  if (address == 0 && ip != "0.0.0.0") {
    return false;
  }
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(text.data() + slash + 1, last, prefix);
  if (result.ec != std::errc() || result.ptr != last || prefix > 32) {
    return false;
  }
  const uint32_t mask =
      prefix == 0 ? 0 : ~uint32_t{0} << (32 - static_cast<int>(prefix));
  return (address & ~mask) == 0;
}

}  // namespace sorrelplank
