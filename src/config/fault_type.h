/// @file fault_type.h Faults in configuration and settings files.

#ifndef SORRELPLANK_CONFIG_FAULT_TYPE_H_
#define SORRELPLANK_CONFIG_FAULT_TYPE_H_

#include <string>
#include <vector>

namespace sorrelplank {

/// A fault in a file. Formatted as one line.
struct Fault {
  std::string m_file;
  /// Path in the file, such as /services/hours-lookup/deadline_ms.
  std::string m_path;
  /// The rejected value as written; empty if there is none.
  std::string m_value;
  std::string m_problem;
  /// Description of the accepted values.
  std::string m_allowed;
};
using Faults = std::vector<Fault>;

/// "FILE: PATH: PROBLEM (value VALUE; allowed: ALLOWED)".
std::string FormatFault(const Fault& fault);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_FAULT_TYPE_H_
