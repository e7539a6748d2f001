/// @file folder.h Reading and writing of an operator's configuration folder.

#ifndef SORRELPLANK_CLI_FOLDER_H_
#define SORRELPLANK_CLI_FOLDER_H_

#include <optional>
#include <string>

#include "config/config_file_type.h"
#include "config/head_type.h"

namespace sorrelplank {

/// Reads every *.json file of a folder, sorted by name; skips hidden files.
/// Throws std::runtime_error if the folder or a file cannot be read.
ConfigFiles ReadFolder(const std::string& folder);

/// Reads a whole file; returns nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// The head that the folder was last in sync with, stored beside its files.
std::optional<Head> ReadBase(const std::string& folder);
void WriteBase(const std::string& folder, const Head& head);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_FOLDER_H_
