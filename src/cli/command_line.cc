/// @file command_line.cc Argument parsing.

#include "cli/command_line.h"

#include <unistd.h>

#include <iostream>

#include "cli/command_type.h"
#include "config/field_check.h"

namespace sorrelplank {

std::optional<int> ParseArguments(TCLAP::CmdLine& line,
                                  std::vector<std::string>& arguments) {
  line.setExceptionHandling(false);
  try {
    line.parse(arguments);
    return std::nullopt;
  } catch (const TCLAP::ExitException& exit) {
    // Thrown after --help or --version was printed.
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << line.getProgramName() << ": " << error.error() << " "
              << error.argId() << "; see --help\n";
    return kExitUsage;
  }
}

bool ParseAddresses(const std::vector<std::string>& texts,
                    std::vector<VmAddress>& addresses) {
  for (const std::string& text : texts) {
    VmAddress address;
    if (!ParseAddress(text, address.m_ip, address.m_port)) {
      std::cerr << "\"" << text << "\" is no IP:PORT\n";
      return false;
    }
    addresses.push_back(address);
  }
  return true;
}

bool IsTerminal() {
  return isatty(STDOUT_FILENO) == 1;
}

}  // namespace sorrelplank
