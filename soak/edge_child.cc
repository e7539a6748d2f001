/// @file edge_child.cc fork, exec, signals.

#include "soak/edge_child.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace sorrelplank::soak {

namespace {

/// The first descriptor behind the standard ones.
constexpr int kFirstOfOurs = STDERR_FILENO + 1;

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
  m_log_begin = LogBytes();
  std::string command = "edge";
  std::string option = "--settings";
  char* const arguments[] = {m_program.data(), command.data(), option.data(),
                             m_settings.data(), nullptr};
  int begun[2];
  if (pipe2(begun, O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  if (pid == 0) {
    dup3(begun[1], kFirstOfOurs, O_CLOEXEC);
    const int file =
        open(m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // A connection whose descriptor the child holds too would not end when it
    // is closed here.
    close_range(kFirstOfOurs + 1, ~0U, 0);
    execv(arguments[0], arguments);
    _exit(127);
  }
  close(begun[1]);
  // Until the program begins the child holds copies of all listeners; closed
  // here meanwhile, their ports could not be taken again.
  char none = 0;
  while (read(begun[0], &none, 1) < 0 && errno == EINTR) {
  }
  close(begun[0]);
  m_pid = pid;
}

void EdgeChild::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

ChildExit EdgeChild::Poll() {
  ChildExit result;
  int status = 0;
  if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return result;
  }
  m_pid = -1;
  result.m_has_exited = true;
  result.m_had_begun = LogBytes() > m_log_begin;
  if (WIFEXITED(status)) {
    result.m_code = WEXITSTATUS(status);
  } else {
    result.m_signal = WTERMSIG(status);
  }
  return result;
}

}  // namespace sorrelplank::soak
