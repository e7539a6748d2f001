/// @file explain_log_command.cc Command sorrelplank explain-log.

#include <cstdio>
#include <iostream>
#include <iterator>

#include "cli/command_line.h"
#include "cli/command_type.h"
#include "cli/folder.h"
#include "cli/log_merge_func.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

/// Selects the log lines to show.
struct LogFilter {
  std::string m_request;
  std::string m_content;
  std::string m_vm;
  bool m_only_changes = false;
};

bool Matches(const LogFilter& filter, const LogEvent& event) {
  const auto request = event.m_fields.find("request");
  const bool is_of_request = request != event.m_fields.end();
  if (filter.m_only_changes && is_of_request) {
    return false;
  }
  if (!filter.m_vm.empty() && event.m_vm != filter.m_vm) {
    return false;
  }
  const auto content = event.m_fields.find("content");
  const bool has_content =
      content != event.m_fields.end() && *content == filter.m_content;
  if (!filter.m_content.empty() && !has_content) {
    return false;
  }
  return filter.m_request.empty() ||
         (is_of_request && *request == filter.m_request);
}

void PrintText(const LogEvent& event, microseconds begin) {
  const double seconds_since =
      std::chrono::duration<double>(event.m_time - begin).count();
  std::printf("%+12.6f s  %-24s %-18s", seconds_since, event.m_vm.c_str(),
              event.m_event.c_str());
  for (const auto& [name, value] : event.m_fields.items()) {
    if (name != "time_us" && name != "vm" && name != "event") {
      std::printf(" %s=%s", name.c_str(),
                  value.is_string() ? value.get<std::string>().c_str()
                                    : value.dump().c_str());
    }
  }
  std::printf("\n");
}

/// The texts of all files, or of standard input if none is named.
std::optional<std::string> ReadLogs(const std::vector<std::string>& files) {
  if (files.empty()) {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::string text;
  for (const std::string& file : files) {
    const auto content = ReadFile(file);
    if (!content) {
      std::cerr << "sorrelplank explain-log: cannot read " << file << "\n";
      return std::nullopt;
    }
    text += *content + "\n";
  }
  return text;
}

}  // namespace

int RunExplainLog(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Shows the log lines about a request, or about the state of processes, "
      "in one order despite differing clocks. Example: sorrelplank "
      "explain-log --request 9c41d07be2a35f68 vm-1.log vm-2.log",
      ' ', SORRELPLANK_VERSION);
  TCLAP::ValueArg<std::string> request_arg(
      "", "request", "only this request id", false, "", "ID", line);
  TCLAP::ValueArg<std::string> content_arg(
      "", "content", "only sends, refusals and state of this content", false,
      "", "CONTENT", line);
  TCLAP::ValueArg<std::string> vm_arg("", "vm", "only this entry VM", false, "",
                                      "NAME", line);
  TCLAP::SwitchArg changes_arg("", "changes",
                               "only changes of the state of processes", line);
  TCLAP::SwitchArg json_arg("", "json", "print as JSON lines", line);
  TCLAP::UnlabeledMultiArg<std::string> files_arg(
      "files", "log files; standard input if none is given", false, "FILE",
      line);
  if (const auto exit = ParseArguments(line, arguments)) {
    return *exit;
  }
  const auto text = ReadLogs(files_arg.getValue());
  if (!text) {
    return kExitRefused;
  }
  const std::vector<LogEvent> events = MergeLogs(ParseLogLines(*text));
  const LogFilter filter{request_arg.getValue(), content_arg.getValue(),
                         vm_arg.getValue(), changes_arg.getValue()};
  size_t shown = 0;
  for (const LogEvent& event : events) {
    if (!Matches(filter, event)) {
      continue;
    }
    ++shown;
    if (json_arg.getValue()) {
      std::cout << event.m_fields.dump() << "\n";
    } else {
      PrintText(event, events.front().m_time);
    }
  }
  if (shown == 0) {
    std::cerr << "sorrelplank explain-log: no line matches; " << events.size()
              << " lines were read\n";
    return kExitRefused;
  }
  return kExitDone;
}

}  // namespace sorrelplank
