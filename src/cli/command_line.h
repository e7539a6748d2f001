/// @file command_line.h Argument parsing by TCLAP, with our exit codes.

#ifndef SORRELPLANK_CLI_COMMAND_LINE_H_
#define SORRELPLANK_CLI_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

#include "core/vm_record_type.h"

namespace sorrelplank {

/// Parses the arguments. Returns an exit code if the command should end now,
/// after --help, --version or a usage error.
std::optional<int> ParseArguments(TCLAP::CmdLine& line,
                                  std::vector<std::string>& arguments);

/// Parses "IP:PORT" arguments; prints a message and returns false if one is
/// invalid.
bool ParseAddresses(const std::vector<std::string>& texts,
                    std::vector<VmAddress>& addresses);

/// Whether standard output is a terminal, so that tables and colours may be
/// used.
bool IsTerminal();

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_COMMAND_LINE_H_
