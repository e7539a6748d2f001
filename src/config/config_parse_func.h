/// @file config_parse_func.h Parsing of configuration files into a checked
/// snapshot.

#ifndef SORRELPLANK_CONFIG_CONFIG_PARSE_FUNC_H_
#define SORRELPLANK_CONFIG_CONFIG_PARSE_FUNC_H_

#include <nlohmann/json_fwd.hpp>
#include <variant>

#include "config/config_file_type.h"
#include "config/fault_type.h"
#include "core/snapshot_type.h"

namespace sorrelplank {

/// Merges and checks the files. Returns the snapshot, or all faults found.
std::variant<Snapshot, Faults> ParseConfig(const ConfigFiles& files,
                                           ConfigVersion version);

/// Builds the snapshot from merged and checked JSON.
Snapshot BuildSnapshot(const nlohmann::json& merged, ConfigVersion version);

/// Parses "A.B.C.D/N"; returns false if the text is not a valid block or has
/// bits set after the prefix.
bool ParseBlock(const std::string& text, uint32_t& address, uint8_t& prefix);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_CONFIG_PARSE_FUNC_H_
