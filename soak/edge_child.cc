/// @file edge_child.cc Starting, signalling and reaping the child process.

#include "soak/edge_child.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace sorrelplank::soak {

namespace {

/// The first descriptor after the standard ones; holds the write end of the
/// start pipe in the child.
constexpr int kStartPipeFd = STDERR_FILENO + 1;

}  // namespace

EdgeChild::EdgeChild(std::string program, std::string settings, std::string log)
    : m_program(std::move(program)),
      m_settings(std::move(settings)),
      m_log(std::move(log)) {}

EdgeChild::~EdgeChild() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

uintmax_t EdgeChild::LogBytes() const {
  std::error_code missing;
  const uintmax_t bytes = std::filesystem::file_size(m_log, missing);
  return missing ? 0 : bytes;
}

void EdgeChild::Start() {
  m_log_start_bytes = LogBytes();
  std::string command = "edge";
  std::string option = "--settings";
  char* const arguments[] = {m_program.data(), command.data(), option.data(),
                             m_settings.data(), nullptr};
  int start_pipe[2];
  if (pipe2(start_pipe, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed");
  }
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  if (pid == 0) {
    dup3(start_pipe[1], kStartPipeFd, O_CLOEXEC);
    const int file =
        open(m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // A connection whose descriptor the child inherited would stay open after
    // this process closes it.
    close_range(kStartPipeFd + 1, ~0U, 0);
    execv(arguments[0], arguments);
    _exit(127);
  }
  close(start_pipe[1]);
  // Waits for exec, which closes the pipe. Until then the child holds copies of
  // all listeners, and the port of a listener that is closed here meanwhile
  // could not be bound again.
  char byte = 0;
  while (read(start_pipe[0], &byte, 1) < 0 && errno == EINTR) {
  }
  close(start_pipe[0]);
  m_pid = pid;
}

void EdgeChild::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

size_t EdgeChild::PeakMemoryBytes() const {
  std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
  const std::string name = "VmHWM:";
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(name)) {
      return std::stoul(line.substr(name.size())) * 1024;
    }
  }
  return 0;
}

ChildExit EdgeChild::Poll() {
  ChildExit result;
  int status = 0;
  if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return result;
  }
  m_pid = -1;
  result.m_has_exited = true;
  result.m_has_written = LogBytes() > m_log_start_bytes;
  if (WIFEXITED(status)) {
    result.m_code = WEXITSTATUS(status);
  } else {
    result.m_signal = WTERMSIG(status);
  }
  return result;
}

}  // namespace sorrelplank::soak
