/// @file log_merge.cc Clock differences from changes that all processes saw.

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "cli/log_merge_func.h"
#include "config/json_text_func.h"

namespace sorrelplank {

namespace {

using nlohmann::json;
using TimeByVm = std::map<std::string, microseconds>;

/// Fields that identify a change in the store equally in all processes.
constexpr const char* kChangeFields[] = {"server", "key", "version",
                                         "failure_domain", "leaving"};

/// Key that identifies a change, or empty for events of a single process.
std::string ChangeKey(const LogEvent& event) {
  const bool is_shared = event.m_event.starts_with("server") ||
                         event.m_event.starts_with("evacuation") ||
                         event.m_event.starts_with("vm") ||
                         event.m_event == "config";
  if (!is_shared) {
    return "";
  }
  std::string name = event.m_event;
  for (const char* field : kChangeFields) {
    if (event.m_fields.contains(field)) {
      name += " " + event.m_fields[field].dump();
    }
  }
  return name;
}

/// When each process first saw each change.
std::map<std::string, TimeByVm> SharedChanges(
    const std::vector<LogEvent>& events) {
  std::map<std::string, TimeByVm> changes;
  for (const LogEvent& event : events) {
    const std::string change = ChangeKey(event);
    if (!change.empty()) {
      changes[change].try_emplace(event.m_vm, event.m_time);
    }
  }
  return changes;
}

std::string VmWithMostLines(const std::vector<LogEvent>& events) {
  std::map<std::string, size_t> lines;
  for (const LogEvent& event : events) {
    ++lines[event.m_vm];
  }
  const auto most = std::max_element(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == lines.end() ? "" : most->first;
}

microseconds Median(std::vector<microseconds> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// How far the clock of each process is ahead of the reference clock, which is
/// that of the process with the most lines.
TimeByVm ClockDifferences(const std::vector<LogEvent>& events) {
  const std::string reference = VmWithMostLines(events);
  std::map<std::string, std::vector<microseconds>> differences;
  for (const auto& [change, times] : SharedChanges(events)) {
    const auto at_reference = times.find(reference);
    if (at_reference == times.end()) {
      continue;
    }
    for (const auto& [vm, time] : times) {
      differences[vm].push_back(time - at_reference->second);
    }
  }
  TimeByVm medians;
  for (auto& [vm, values] : differences) {
    medians[vm] = Median(std::move(values));
  }
  return medians;
}

}  // namespace

std::vector<LogEvent> ParseLogLines(const std::string& text) {
  std::vector<LogEvent> events;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    const size_t start = line.find("{\"time_us\"");
    if (start == std::string::npos) {
      continue;
    }
    json fields = TryParseJsonText(line.substr(start));
    const bool is_event =
        fields.is_object() && fields["time_us"].is_number_integer() &&
        fields.contains("vm") && fields["vm"].is_string() &&
        fields.contains("event") && fields["event"].is_string();
    if (!is_event) {
      continue;
    }
    LogEvent event;
    event.m_time = microseconds(fields["time_us"].get<int64_t>());
    event.m_vm = fields["vm"].get<std::string>();
    event.m_event = fields["event"].get<std::string>();
    event.m_fields = std::move(fields);
    events.push_back(std::move(event));
  }
  return events;
}

std::vector<LogEvent> MergeLogs(std::vector<LogEvent> events) {
  const TimeByVm differences = ClockDifferences(events);
  for (LogEvent& event : events) {
    const auto difference = differences.find(event.m_vm);
    if (difference != differences.end()) {
      event.m_time -= difference->second;
    }
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const LogEvent& a, const LogEvent& b) { return a.m_time < b.m_time; });
  return events;
}

}  // namespace sorrelplank
