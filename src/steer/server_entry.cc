/// @file server_entry.cc Names of backend server runs.

#include "steer/server_entry_type.h"

namespace sorrelplank {

std::string RunName(const ServerEntry& entry) {
  return entry.m_started
             ? entry.m_instance + "@" + std::to_string(entry.m_started->count())
             : entry.m_instance;
}

}  // namespace sorrelplank
