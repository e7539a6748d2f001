/// @file edge_child.h The process of one entry VM, started and harmed from
/// here.

#ifndef SORRELPLANK_SOAK_EDGE_CHILD_H_
#define SORRELPLANK_SOAK_EDGE_CHILD_H_

#include <sys/types.h>

#include <string>

namespace sorrelplank::soak {

/// How a process ended.
struct ChildExit {
  bool m_has_exited = false;
  /// Exit code; -1 for a signal.
  int m_code = -1;
  int m_signal = 0;
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
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_EDGE_CHILD_H_
