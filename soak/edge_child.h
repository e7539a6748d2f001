/// @file edge_child.h The process of one entry VM, started and harmed from
/// here.

#ifndef SORRELPLANK_SOAK_EDGE_CHILD_H_
#define SORRELPLANK_SOAK_EDGE_CHILD_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace sorrelplank::soak {

/// How a process ended.
struct ChildExit {
  bool m_has_exited = false;
  /// Exit code; -1 for a signal.
  int m_code = -1;
  int m_signal = 0;
  /// It had written a line: it listened, and took signals by its handlers.
  bool m_had_begun = false;
};

/// Starts `sorrelplank edge`; whatever still runs is killed at the end, by its
/// process id.
class EdgeChild {
 public:
  EdgeChild(std::string program, std::string settings, std::string log);
  ~EdgeChild();
  EdgeChild(const EdgeChild&) = delete;
  EdgeChild& operator=(const EdgeChild&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Whether the process has ended since it was last asked.
  ChildExit Poll();
  bool IsRunning() const { return m_pid > 0; }

 private:
  uintmax_t LogBytes() const;

  std::string m_program;
  std::string m_settings;
  std::string m_log;
  /// Bytes in the log when the process was started.
  uintmax_t m_log_begin = 0;
  pid_t m_pid = -1;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_EDGE_CHILD_H_
