/// @file entry_process.h The process of an entry VM.

#ifndef SORRELPLANK_SERVE_ENTRY_PROCESS_H_
#define SORRELPLANK_SERVE_ENTRY_PROCESS_H_

#include <memory>

#include "config/settings_type.h"

namespace sorrelplank {

/// Connects the decision core to sockets, timers and signals.
class EntryProcess {
 public:
  /// Opens the listening ports; throws std::runtime_error on failure.
  explicit EntryProcess(const Settings& settings);
  ~EntryProcess();

  /// Serves until SIGTERM or SIGINT asks for a stop and all requests in flight
  /// have ended.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_ENTRY_PROCESS_H_
