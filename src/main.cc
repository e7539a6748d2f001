/// @file main.cc Runs the subcommand that the arguments name.

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command_type.h"

namespace sorrelplank {
namespace {

constexpr Command kCommands[] = {
    {"serve", "run the process of an entry VM", RunServe},
    {"edge", "route requests on the platform", RunEdge},
    {"held", "list or release requests that crash servers", RunHeld},
    {"check", "check a configuration folder; prints every fault", RunCheck},
    {"diff", "show what an apply would change", RunDiff},
    {"apply", "publish a configuration folder", RunApply},
    {"status", "show versions, headroom and leaving servers", RunStatus},
    {"explain", "show the response that a caller would get, and why",
     RunExplain},
    {"timeline", "show the events of all entry VMs in one order", RunTimeline},
    {"explain-log", "show the log lines about a request in one order",
     RunExplainLog},
};

void PrintHelp(std::ostream& out) {
  out << "sorrelplank " << SORRELPLANK_VERSION
      << ": steers requests from callers to backend servers\n\n"
         "usage: sorrelplank COMMAND [OPTIONS]\n\n";
  for (const Command& command : kCommands) {
    out << "  " << command.m_name
        << std::string(13 - std::string(command.m_name).size(), ' ')
        << command.m_help << "\n";
  }
  out << "\nsorrelplank COMMAND --help shows the options of a command.\n"
         "Exit codes: 0 done, 1 refused or faulty input, 2 wrong usage,\n"
         "3 platform or entry VM unreachable, or outcome unknown.\n";
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.size() < 2) {
    PrintHelp(std::cerr);
    return kExitUsage;
  }
  const std::string& name = arguments[1];
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(std::cout);
    return kExitDone;
  }
  if (name == "--version") {
    std::cout << "sorrelplank " << SORRELPLANK_VERSION << "\n";
    return kExitDone;
  }
  const auto* command = std::find_if(
      std::begin(kCommands), std::end(kCommands),
      [&](const Command& candidate) { return name == candidate.m_name; });
  if (command == std::end(kCommands)) {
    std::cerr << "sorrelplank: no command \"" << name << "\"; see --help\n";
    return kExitUsage;
  }
  std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  rest[0] = "sorrelplank " + name;
  return command->m_run(std::move(rest));
}

}  // namespace
}  // namespace sorrelplank

int main(int argc, char** argv) {
  return sorrelplank::Run(std::vector<std::string>(argv, argv + argc));
}
