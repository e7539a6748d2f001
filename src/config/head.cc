/// @file head.cc Encoding of the head record.

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/head_type.h"
#include "config/json_text_func.h"

namespace sorrelplank {

namespace {

constexpr int kFormat = 1;
constexpr size_t kMaxHistoryEntries = 64;

}  // namespace

std::string DigestOf(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  char digest[33];
  std::snprintf(digest, sizeof(digest), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digest;
}

std::string FormatHead(const Head& head) {
  nlohmann::json files = nlohmann::json::array();
  for (const HeadFile& file : head.m_files) {
    files.push_back({{"name", file.m_name}, {"digest", file.m_digest}});
  }
  return nlohmann::json{{"format", kFormat},
                        {"version", head.m_version.Get()},
                        {"change_id", head.m_change_id},
                        {"files", files},
                        {"history", head.m_history}}
      .dump();
}

std::optional<Head> ParseHead(const std::string& text) {
  const auto record = TryParseJsonText(text);
  try {
    if (!record.is_object() || record.at("format") != kFormat) {
      return std::nullopt;
    }
    Head head;
    head.m_version = ConfigVersion(record.at("version").get<uint64_t>());
    head.m_change_id = record.at("change_id").get<std::string>();
    for (const auto& file : record.at("files")) {
      head.m_files.push_back({file.at("name").get<std::string>(),
                              file.at("digest").get<std::string>()});
    }
    head.m_history = record.at("history").get<std::vector<std::string>>();
    return head;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

Head MakeHead(const ConfigFiles& files,
              ConfigVersion version,
              std::string change_id,
              const std::vector<std::string>& history) {
  Head head{version, std::move(change_id), {}, {}};
  for (const ConfigFile& file : files) {
    head.m_files.push_back({file.m_name, DigestOf(file.m_text)});
  }
  head.m_history.push_back(head.m_change_id);
  const size_t kept = std::min(history.size(), kMaxHistoryEntries - 1);
  head.m_history.insert(head.m_history.end(), history.begin(),
                        history.begin() + static_cast<ptrdiff_t>(kept));
  return head;
}

bool Head::Contains(const std::string& change_id) const {
  return std::find(m_history.begin(), m_history.end(), change_id) !=
         m_history.end();
}

}  // namespace sorrelplank
