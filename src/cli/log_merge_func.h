/// @file log_merge_func.h Brings the log lines of many processes into one
/// order.

#ifndef SORRELPLANK_CLI_LOG_MERGE_FUNC_H_
#define SORRELPLANK_CLI_LOG_MERGE_FUNC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// One line of a log.
struct LogEvent {
  /// By the writer's wall clock; after MergeLogs by the clock of the process
  /// with most lines.
  microseconds m_time{};
  std::string m_vm;
  std::string m_event;
  /// All fields as written.
  nlohmann::json m_fields;
};

/// Reads a line; what stands before the JSON object is skipped. Nothing where
/// the line holds no event.
std::vector<LogEvent> ParseLogLines(const std::string& text);

/// Sorts by time, with differing clocks corrected.
///
/// All processes see a change in the store at about the same moment, so the
/// median difference of their times for the same changes is the difference of
/// their clocks. Events of one process keep their order.
std::vector<LogEvent> MergeLogs(std::vector<LogEvent> events);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_LOG_MERGE_FUNC_H_
