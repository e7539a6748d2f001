/// @file decision_log.h Structured log written to standard output.

#ifndef SORRELPLANK_PROXY_DECISION_LOG_H_
#define SORRELPLANK_PROXY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <variant>

#include "core/time_type.h"

namespace sorrelplank {

/// Name and value of one field of a log line.
struct LogField {
  const char* m_name;
  std::variant<std::string, int64_t, double> m_value;
};

/// Writes one JSON object per line. Never blocks: lines that the descriptor
/// does not accept are buffered up to a limit; lines beyond it are counted and
/// dropped.
class DecisionLog {
 public:
  /// Switches the descriptor to non-blocking mode.
  DecisionLog(std::string vm, int descriptor);

  void Write(const char* event, std::initializer_list<LogField> fields);
  /// Writes as much of the buffer as the descriptor accepts now.
  void Flush();

  uint64_t Dropped() const { return m_dropped; }

 private:
  std::string m_vm;
  int m_descriptor;
  std::string m_pending;
  uint64_t m_dropped = 0;
  uint64_t m_reported_dropped = 0;
};

/// Converts to whole milliseconds for a log field.
int64_t LogMs(Duration duration);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_DECISION_LOG_H_
