/// @file settings_type.h Settings of one entry VM's process.

#ifndef SORRELPLANK_CONFIG_SETTINGS_TYPE_H_
#define SORRELPLANK_CONFIG_SETTINGS_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/fault_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// One field per row of table/settings_table.h.
struct Settings {
  std::string m_name;
  std::string m_place;
  std::string m_failure_domain;
  std::string m_region;
  std::string m_ip;
  uint16_t m_caller_port = 0;
  uint16_t m_peer_port = 0;
  uint16_t m_operator_port = 0;
  std::vector<VmAddress> m_platform;
  std::vector<VmAddress> m_peers;
  uint32_t m_timeline_events = 0;
  uint32_t m_kept_answer_bytes = 0;
  uint32_t m_max_header_bytes = 0;
  bool m_fault_switch = false;
};

/// Parses a settings file. Returns the settings, or all faults found.
std::variant<Settings, Faults> ParseSettings(const std::string& text,
                                             const std::string& file);

/// The table of settings, as text or as JSON.
std::string PrintSettingsTable(bool as_json);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_SETTINGS_TYPE_H_
