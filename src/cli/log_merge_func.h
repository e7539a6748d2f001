/// @file log_merge_func.h Merges the logs of many processes into one order.

#ifndef SORRELPLANK_CLI_LOG_MERGE_FUNC_H_
#define SORRELPLANK_CLI_LOG_MERGE_FUNC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// A log line.
struct LogEvent {
  /// By the wall clock of the writer; after MergeLogs() by the clock of the
  /// process with the most lines.
  microseconds m_time{};
  std::string m_vm;
  std::string m_event;
  /// All fields as written.
  nlohmann::json m_fields;
};

/// Parses log lines. Skips any text before the JSON object of a line, and lines
/// without an event.
std::vector<LogEvent> ParseLogLines(const std::string& text);

/// Sorts by time, corrected for clock differences.
///
/// All processes see a change in the store at about the same time, so the
/// median difference of their times for the same changes is the difference of
/// their clocks. Events of one process keep their order.
std::vector<LogEvent> MergeLogs(std::vector<LogEvent> events);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_LOG_MERGE_FUNC_H_
