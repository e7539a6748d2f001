/// @file decision_log.h Structured log lines on standard output.

#ifndef SORRELPLANK_PROXY_DECISION_LOG_H_
#define SORRELPLANK_PROXY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <variant>

#include "core/time_type.h"

namespace sorrelplank {

/// A field of a line.
struct LogField {
  const char* m_name;
  std::variant<std::string, int64_t, double> m_value;
};

/// One JSON object a line. Never blocks: what standard output does not take is
/// kept up to a bound, and what goes beyond it is counted and dropped.
class DecisionLog {
 public:
  /// Makes the descriptor non-blocking.
  DecisionLog(std::string vm, int descriptor);

  void Write(const char* event, std::initializer_list<LogField> fields);
  /// Hands to the descriptor what it takes now.
  void Flush();

  uint64_t Dropped() const { return m_dropped; }

 private:
  std::string m_vm;
  int m_descriptor;
  std::string m_pending;
  uint64_t m_dropped = 0;
  uint64_t m_told_dropped = 0;
};

/// Whole milliseconds for a field.
int64_t LogMs(Duration duration);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_DECISION_LOG_H_
