/// @file folder.cc Reading and writing of the folder.

#include "cli/folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sorrelplank {

namespace {

namespace fs = std::filesystem;

constexpr const char* kBaseFile = ".sorrelplank-base";

}  // namespace

ConfigFiles ReadFolder(const std::string& folder) {
  if (!fs::is_directory(folder)) {
    throw std::runtime_error(folder + " is no folder");
  }
  ConfigFiles files;
  for (const fs::directory_entry& entry : fs::directory_iterator(folder)) {
    const std::string name = entry.path().filename().string();
    const bool is_config = entry.is_regular_file() && name[0] != '.' &&
                           entry.path().extension() == ".json";
    if (!is_config) {
      continue;
    }
    const auto text = ReadFile(entry.path().string());
    if (!text) {
      throw std::runtime_error(entry.path().string() + " cannot be read");
    }
    files.push_back({name, *text});
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return in.bad() ? std::nullopt : std::optional(text.str());
}

std::optional<Head> ReadBase(const std::string& folder) {
  const auto text = ReadFile((fs::path(folder) / kBaseFile).string());
  return text ? ParseHead(*text) : std::nullopt;
}

void WriteBase(const std::string& folder, const Head& head) {
  std::ofstream out(fs::path(folder) / kBaseFile, std::ios::binary);
  out << FormatHead(head) << "\n";
  if (!out.flush()) {
    throw std::runtime_error(std::string(kBaseFile) + " cannot be written");
  }
}

}  // namespace sorrelplank
