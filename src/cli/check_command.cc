/// @file check_command.cc Command sorrelplank check.

#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/command_line.h"
#include "cli/command_type.h"
#include "cli/folder.h"
#include "config/config_parse_func.h"

namespace sorrelplank {

namespace {

void PrintFaults(const Faults& faults, bool as_json) {
  nlohmann::json list = nlohmann::json::array();
  for (const Fault& fault : faults) {
    if (!as_json) {
      std::cerr << FormatFault(fault) << "\n";
      continue;
    }
    list.push_back({{"file", fault.m_file},
                    {"path", fault.m_path},
                    {"value", fault.m_value},
                    {"problem", fault.m_problem},
                    {"allowed", fault.m_allowed}});
  }
  if (as_json) {
    std::cout << list.dump(2) << "\n";
  }
}

}  // namespace

int RunCheck(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Checks a configuration folder and prints every fault at once.", ' ',
      SORRELPLANK_VERSION);
  TCLAP::UnlabeledValueArg<std::string> folder_arg(
      "folder", "folder of JSON files", true, "", "FOLDER", line);
  TCLAP::SwitchArg json_arg("", "json", "print faults as JSON", line);
  if (const auto exit = ParseArguments(line, arguments)) {
    return *exit;
  }
  try {
    const auto parsed =
        ParseConfig(ReadFolder(folder_arg.getValue()), ConfigVersion(1));
    if (const auto* faults = std::get_if<Faults>(&parsed)) {
      PrintFaults(*faults, json_arg.getValue());
      return kExitRefused;
    }
    const auto& config = std::get<Snapshot>(parsed);
    if (json_arg.getValue()) {
      std::cout << "[]\n";
      return kExitDone;
    }
    std::cout << folder_arg.getValue() << ": sound; " << config.m_places.size()
              << " places, " << config.m_services.size() << " services, "
              << config.m_backends.size() << " backend servers, "
              << config.m_client_blocks.RangeCount()
              << " client address ranges\n";
    return kExitDone;
  } catch (const std::runtime_error& error) {
    std::cerr << "sorrelplank check: " << error.what() << "\n";
    return kExitRefused;
  }
}

}  // namespace sorrelplank
