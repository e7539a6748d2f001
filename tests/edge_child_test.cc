/// @file edge_child_test.cc Tests of starting child processes and of their exit
/// status.

#include "soak/edge_child.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "tests/free_port_func.h"

namespace sorrelplank::soak {
namespace {

namespace fs = std::filesystem;

/// Runs a shell script in place of the program.
struct ChildFixture {
  fs::path m_folder;

  ChildFixture() {
    std::string folder = "/tmp/sorrelplank-child-XXXXXX";
    cr_assert_not_null(mkdtemp(folder.data()));
    m_folder = folder;
  }
  ~ChildFixture() { fs::remove_all(m_folder); }

  /// Runs the script, sends SIGTERM once it has created the file "ready", and
  /// returns the exit status.
  ChildExit EndOf(const std::string& script) const {
    const fs::path program = m_folder / "program";
    std::ofstream(program) << "#!/bin/sh\n" << script << "\n";
    fs::permissions(program, fs::perms::owner_all);
    EdgeChild child(program, "", m_folder / "log");
    child.Start();
    while (!fs::exists(m_folder / "ready")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    child.Signal(SIGTERM);
    ChildExit end;
    while (!end.m_has_exited) {
      end = child.Poll();
    }
    return end;
  }
  std::string TouchReady() const {
    return "touch " + (m_folder / "ready").string();
  }
};

// A VM stopped a few milliseconds after its start is still loading its
// libraries. No program can handle a signal then: it ends by the signal and has
// not started to listen.
Test(EdgeChild, SigtermBeforeFirstOutput_End_HasNotWritten) {
  const ChildFixture fixture;
  const ChildExit end =
      fixture.EndOf(fixture.TouchReady() + "; exec sleep 100");
  cr_assert_eq(end.m_signal, SIGTERM);
  cr_assert_not(end.m_has_written);
}

// A process that had written output and ends by the signal failed to stop
// gracefully.
Test(EdgeChild, SigtermAfterFirstOutput_End_HasWritten) {
  const ChildFixture fixture;
  const ChildExit end =
      fixture.EndOf("echo begun; " + fixture.TouchReady() + "; exec sleep 100");
  cr_assert_eq(end.m_signal, SIGTERM);
  cr_assert(end.m_has_written);
}

// Guards against a port that stays in use because a process that was just
// started holds a copy of the listener.
Test(EdgeChild, JustStarted_ListenerIsClosed_PortIsFree) {
  const ChildFixture fixture;
  asio::io_context io;
  const asio::ip::tcp::endpoint where(asio::ip::address_v4::loopback(),
                                      FreePort());
  for (int round = 0; round < 50; ++round) {
    asio::ip::tcp::acceptor acceptor(io, where);
    EdgeChild child("/bin/true", "", fixture.m_folder / "log");
    child.Start();
    acceptor.close();
    std::error_code error;
    acceptor.open(where.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(where, error);
    cr_assert(!error, "round %d: %s", round, error.message().c_str());
    while (!child.Poll().m_has_exited) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
}

}  // namespace
}  // namespace sorrelplank::soak
