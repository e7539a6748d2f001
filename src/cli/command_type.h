/// @file command_type.h Subcommands of the program.

#ifndef SORRELPLANK_CLI_COMMAND_TYPE_H_
#define SORRELPLANK_CLI_COMMAND_TYPE_H_

#include <string>
#include <vector>

namespace sorrelplank {

// Exit codes of every subcommand.
inline constexpr int kExitDone = 0;
/// Refused, or faulty input.
inline constexpr int kExitRefused = 1;
/// Wrong usage of the command line.
inline constexpr int kExitUsage = 2;
/// The platform or an entry VM is unreachable, or the outcome is unknown.
inline constexpr int kExitUnreachable = 3;

/// A subcommand. The first of its arguments is the name of the program and the
/// subcommand.
struct Command {
  const char* m_name;
  const char* m_help;
  int (*m_run)(std::vector<std::string> arguments);
};

int RunServe(std::vector<std::string> arguments);
int RunEdge(std::vector<std::string> arguments);
int RunHeld(std::vector<std::string> arguments);
int RunCheck(std::vector<std::string> arguments);
int RunDiff(std::vector<std::string> arguments);
int RunApply(std::vector<std::string> arguments);
int RunStatus(std::vector<std::string> arguments);
int RunExplain(std::vector<std::string> arguments);
int RunTimeline(std::vector<std::string> arguments);
int RunExplainLog(std::vector<std::string> arguments);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_COMMAND_TYPE_H_
