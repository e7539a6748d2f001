/// @file held_command_test.cc The operator's command for requests that crash
/// backend servers.

#include <criterion/criterion.h>

#include <array>
#include <asio.hpp>
#include <cstdio>
#include <string>
#include <thread>

#include "platform/decode_func.h"
#include "tests/served_store.h"

namespace sorrelplank::platform {
namespace {

constexpr RequestDigest kHeld{.m_high = 1, .m_low = 1};
constexpr RequestDigest kSuspected{.m_high = 1, .m_low = 2};

/// A store with crash records of two requests, served by its own thread.
struct HeldFixture : ServedStore {
  std::thread m_thread;

  HeldFixture() {
    for (const char* run : {"a", "b", "c"}) {
      Put({kHeld, run});
    }
    Put({kSuspected, "a"});
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~HeldFixture() {
    m_io.stop();
    m_thread.join();
  }

  void Put(const CrashRecord& record) {
    m_store.PutText(
        CrashKey(record),
        EncodeStoredCrash({{record, {}, "reads", "h.example", "/read/7"},
                           "vm-1",
                           milliseconds(1)}));
  }

  /// Runs the command and returns its output.
  std::string Run(const std::string& options) const {
    const std::string command =
        std::string(BINARY_DIR) +
        "/sorrelplank held --store 127.0.0.1:" + std::to_string(m_port) + " " +
        options + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");
    cr_assert_not_null(pipe);
    std::string text;
    std::array<char, 256> buffer{};
    while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
      text += buffer.data();
    }
    pclose(pipe);
    return text;
  }
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(HeldCommand, TwoRequests_List_ShowsWhichIsHeldBack) {
  const HeldFixture fixture;
  const std::string text = fixture.Run("");
  cr_assert(Contains(text, FormatDigest(kHeld) +
                               "  held back  3 servers ended  reads  "
                               "h.example/read/7\n"));
  cr_assert(
      Contains(text, FormatDigest(kSuspected) + "  suspected  1 servers"));
}

// The cause is fixed: only the given request is released.
Test(HeldCommand, HeldRequest_Released_IsGoneFromTheStore) {
  const HeldFixture fixture;
  cr_assert(
      Contains(fixture.Run("--release " + FormatDigest(kHeld)), "released"));
  const std::string text = fixture.Run("--json");
  cr_assert_not(Contains(text, FormatDigest(kHeld)));
  cr_assert(Contains(text, FormatDigest(kSuspected)));
  cr_assert(Contains(fixture.Run("--release " + FormatDigest(kHeld)),
                     "nothing is known of"));
}

}  // namespace
}  // namespace sorrelplank::platform
