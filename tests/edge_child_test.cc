/// @file edge_child_test.cc How the soak sees a process end.

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

/// A process that runs a shell script as if it were the program.
struct ChildFixture {
  fs::path m_folder;

  ChildFixture() {
    std::string folder = "/tmp/sorrelplank-child-XXXXXX";
    cr_assert_not_null(mkdtemp(folder.data()));
    m_folder = folder;
  }
  ~ChildFixture() { fs::remove_all(m_folder); }

  /// The end of a process that got SIGTERM once the script had gone so far.
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

// A VM is told to stop some milliseconds after its start, while its libraries
// are loaded. No program can handle a signal then; it ends by the signal, and
// has not listened yet.
Test(EdgeChild, SigtermBeforeItsFirstLine_End_HadNotBegun) {
  const ChildFixture fixture;
  const ChildExit end =
      fixture.EndOf(fixture.TouchReady() + "; exec sleep 100");
  cr_assert_eq(end.m_signal, SIGTERM);
  cr_assert_not(end.m_had_begun);
}

// One that had begun and ends by the signal has failed to stop as planned.
Test(EdgeChild, SigtermAfterItsFirstLine_End_HadBegun) {
  const ChildFixture fixture;
  const ChildExit end =
      fixture.EndOf("echo begun; " + fixture.TouchReady() + "; exec sleep 100");
  cr_assert_eq(end.m_signal, SIGTERM);
  cr_assert(end.m_had_begun);
}

// Guards against a port that stays taken while a process that was just begun
// holds a copy of its listener.
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
