/// @file edge_child.h The child process of one entry VM, started and signalled
/// by the soak.

#ifndef SORRELPLANK_SOAK_EDGE_CHILD_H_
#define SORRELPLANK_SOAK_EDGE_CHILD_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace sorrelplank::soak {

/// Exit status of a process.
struct ChildExit {
  bool m_has_exited = false;
  /// Exit code; -1 where a signal ended the process.
  int m_code = -1;
  int m_signal = 0;
  /// It had written to its log, so it was listening and had installed its
  /// signal handlers.
  bool m_has_written = false;
};

/// Runs `sorrelplank edge`. The destructor kills a process that still runs, by
/// its process id.
class EdgeChild {
 public:
  EdgeChild(std::string program, std::string settings, std::string log);
  ~EdgeChild();
  EdgeChild(const EdgeChild&) = delete;
  EdgeChild& operator=(const EdgeChild&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Reports whether the process has ended since the last call; does not wait.
  ChildExit Poll();

  /// The most memory that the process has had; zero if it does not run.
  size_t PeakMemoryBytes() const;
  bool IsRunning() const { return m_pid > 0; }
  /// Not positive unless the process runs.
  pid_t Pid() const { return m_pid; }

 private:
  uintmax_t LogBytes() const;

  std::string m_program;
  std::string m_settings;
  std::string m_log;
  /// Size of the log when the process was started; restarts append to it.
  uintmax_t m_log_start_bytes = 0;
  pid_t m_pid = -1;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_EDGE_CHILD_H_
