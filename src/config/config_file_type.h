/// @file config_file_type.h Files of the configuration folder.

#ifndef SORRELPLANK_CONFIG_CONFIG_FILE_TYPE_H_
#define SORRELPLANK_CONFIG_CONFIG_FILE_TYPE_H_

#include <string>
#include <vector>

namespace sorrelplank {

/// A configuration file; its text is JSON.
struct ConfigFile {
  std::string m_name;
  std::string m_text;

  auto operator<=>(const ConfigFile&) const = default;
};
/// All files, sorted by name: later ones override earlier ones.
using ConfigFiles = std::vector<ConfigFile>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_CONFIG_FILE_TYPE_H_
