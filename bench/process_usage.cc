/// @file process_usage.cc Reads /proc/PID/stat.

#include "bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace sorrelplank {

namespace {

// Fields of /proc/PID/stat, counted from 1.
constexpr int kUserTicksField = 14;
constexpr int kSystemTicksField = 15;
constexpr int kResidentPagesField = 24;

}  // namespace

ProcessUsage ReadProcessUsage(pid_t pid) {
  ProcessUsage use;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string field;
  for (int at = 1; at <= kResidentPagesField && stat >> field; ++at) {
    if (at == kUserTicksField || at == kSystemTicksField) {
      use.m_cpu_seconds +=
          std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    if (at == kResidentPagesField) {
      use.m_resident_bytes =
          std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
  }
  return use;
}

}  // namespace sorrelplank
