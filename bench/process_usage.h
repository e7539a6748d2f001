/// @file process_usage.h Resource usage of a process, read from /proc.

#ifndef SORRELPLANK_BENCH_PROCESS_USAGE_H_
#define SORRELPLANK_BENCH_PROCESS_USAGE_H_

#include <sys/types.h>

namespace sorrelplank {

/// CPU time and resident memory of a process.
struct ProcessUsage {
  double m_cpu_seconds = 0;
  double m_resident_bytes = 0;
};

ProcessUsage ReadProcessUsage(pid_t pid);

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_PROCESS_USAGE_H_
