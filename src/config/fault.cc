/// @file fault.cc Formatting of faults.

#include "config/fault_type.h"

namespace sorrelplank {

namespace {

constexpr size_t kMaxValueLength = 60;

}  // namespace

std::string FormatFault(const Fault& fault) {
  std::string line = fault.m_file + ": " +
                     (fault.m_path.empty() ? "/" : fault.m_path) + ": " +
                     fault.m_problem;
  std::string notes;
  if (!fault.m_value.empty()) {
    const bool is_long = fault.m_value.size() > kMaxValueLength;
    notes += "value " + fault.m_value.substr(0, kMaxValueLength) +
             (is_long ? "..." : "");
  }
  if (!fault.m_allowed.empty()) {
    notes += (notes.empty() ? "" : "; ");
    notes += "allowed: " + fault.m_allowed;
  }
  return notes.empty() ? line : line + " (" + notes + ")";
}

}  // namespace sorrelplank
