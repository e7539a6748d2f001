/// @file serve_command.cc Command sorrelplank serve.

#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "cli/command_line.h"
#include "cli/command_type.h"
#include "cli/folder.h"
#include "config/settings_type.h"
#include "serve/entry_process.h"

namespace sorrelplank {

namespace {

void PrintFaults(const Faults& faults) {
  for (const Fault& fault : faults) {
    std::cerr << FormatFault(fault) << "\n";
  }
}

int ServeWith(const Settings& settings) {
  google::InitGoogleLogging("sorrelplank");
  FLAGS_logtostderr = true;
  try {
    EntryProcess process(settings);
    process.Run();
    google::FlushLogFiles(google::INFO);
    // No request is in flight any more. Library threads may still wait for
    // peers; as there is no state on disk, exit without waiting for them.
    std::_Exit(kExitDone);
  } catch (const std::exception& error) {
    std::cerr << "sorrelplank serve: " << error.what() << "\n";
    std::_Exit(kExitRefused);
  }
}

}  // namespace

int RunServe(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Runs the process of an entry VM until SIGTERM; it then finishes what "
      "is in flight and exits with 0.",
      ' ', SORRELPLANK_VERSION);
  TCLAP::ValueArg<std::string> settings_arg(
      "", "settings", "JSON file of settings", false, "", "FILE", line);
  TCLAP::SwitchArg print_arg("", "print-settings",
                             "print every setting with its range and unit",
                             line);
  TCLAP::SwitchArg json_arg("", "json", "print as JSON", line);
  if (const auto exit = ParseArguments(line, arguments)) {
    return *exit;
  }
  if (print_arg.getValue()) {
    std::cout << PrintSettingsTable(json_arg.getValue());
    return kExitDone;
  }
  if (!settings_arg.isSet()) {
    std::cerr << "sorrelplank serve: --settings FILE is needed; see --help\n";
    return kExitUsage;
  }
  const std::string& file = settings_arg.getValue();
  const auto text = ReadFile(file);
  if (!text) {
    PrintFaults({{file, "", "", "cannot be read", "a readable JSON file"}});
    return kExitRefused;
  }
  const auto parsed = ParseSettings(*text, file);
  if (const auto* faults = std::get_if<Faults>(&parsed)) {
    PrintFaults(*faults);
    return kExitRefused;
  }
  return ServeWith(std::get<Settings>(parsed));
}

}  // namespace sorrelplank
