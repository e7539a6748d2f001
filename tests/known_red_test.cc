/// @file known_red_test.cc Tests that the list of known failures masks no other
/// failure.

#include <criterion/criterion.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

namespace sorrelplank {
namespace {

namespace fs = std::filesystem;

constexpr const char* kListedLine =
    "S::Listed | make test | 1 of 2 failed | a cause | 7\n";

/// A list of known failures and a test runner with fixed results.
struct KnownRedFixture {
  fs::path m_folder;

  KnownRedFixture() {
    std::string name =
        (fs::temp_directory_path() / "known-red-XXXXXX").string();
    m_folder = mkdtemp(name.data());
    WriteList("");
    SetResults("1..2\nok - S::Good  (0.00s)\nok - S::Listed  (0.00s)\n", 0);
  }
  ~KnownRedFixture() { fs::remove_all(m_folder); }

  void WriteList(const std::string& text) const {
    std::ofstream(m_folder / "list") << text;
  }

  /// Sets the runner's results, in the Test Anything Protocol, and exit status.
  void SetResults(const std::string& results, int status) const {
    std::ofstream(m_folder / "results") << results;
    std::ofstream(m_folder / "runner")
        << "for option in \"$@\"; do case $option in --tap=*) cp "
        << (m_folder / "results").string() << " \"${option#--tap=}\";; esac; "
        << "done; exit " << status << "\n";
  }

  /// Runs the script and returns its exit status.
  int Run(const std::string& verb, const std::string& arguments) const {
    const std::string command =
        std::string(SOURCE_DIR) + "/scripts/known_red.sh " + verb + " " +
        (m_folder / "list").string() + " " + arguments + " >/dev/null 2>&1";
    const int status = std::system(command.c_str());
    return WEXITSTATUS(status);
  }
  int RunUnit() const {
    fs::permissions(m_folder / "runner", fs::perms::owner_all);
    std::ofstream(m_folder / "run")
        << "exec bash " << (m_folder / "runner").string() << " \"$@\"\n";
    fs::permissions(m_folder / "run", fs::perms::owner_all);
    return Run("unit", (m_folder / "run").string());
  }
};

std::unique_ptr<KnownRedFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<KnownRedFixture>();
}

void TearDown() {
  g_fixture.reset();
}

std::string Repeat(const std::string& line, size_t count) {
  std::string lines;
  for (size_t at = 0; at < count; ++at) {
    lines += line;
  }
  return lines;
}

TestSuite(KnownRed, .init = SetUp, .fini = TearDown);

Test(KnownRed, AllPass_NoList_Passes) {
  cr_assert_eq(g_fixture->RunUnit(), 0);
}

Test(KnownRed, OnlyListedTestFails_IsPassedOver) {
  g_fixture->WriteList(kListedLine);
  g_fixture->SetResults(
      "1..2\nok - S::Good  (0.00s)\nnot ok - S::Listed  (0.00s)\n", 1);
  cr_assert_eq(g_fixture->RunUnit(), 0);
}

Test(KnownRed, OtherTestFailsBesides_Fails) {
  g_fixture->WriteList(kListedLine);
  g_fixture->SetResults(
      "1..2\nnot ok - S::Good  (0.00s)\nnot ok - S::Listed  (0.00s)\n", 1);
  cr_assert_neq(g_fixture->RunUnit(), 0);
}

// The name of the failing test begins with the listed name.
Test(KnownRed, TestWithLongerNameFails_Fails) {
  g_fixture->WriteList(kListedLine);
  g_fixture->SetResults(
      "1..2\nok - S::Listed  (0.00s)\nnot ok - S::ListedToo  (0.00s)\n", 1);
  cr_assert_neq(g_fixture->RunUnit(), 0);
}

// The runner ends after the listed failure, before it reports the second test.
Test(KnownRed, RunnerEndsEarly_Fails) {
  g_fixture->WriteList(kListedLine);
  g_fixture->SetResults("1..2\nnot ok - S::Listed  (0.00s)\n", 1);
  cr_assert_neq(g_fixture->RunUnit(), 0);
}

Test(KnownRed, RunnerFailsWithoutFailingTest_Fails) {
  g_fixture->WriteList(kListedLine);
  g_fixture->SetResults(
      "1..2\nok - S::Good  (0.00s)\nok - S::Listed  (0.00s)\n", 1);
  cr_assert_neq(g_fixture->RunUnit(), 0);
}

Test(KnownRed, ListedTestDoesNotExist_Fails) {
  g_fixture->WriteList("S::Gone | make test | seen | a cause | 7\n");
  cr_assert_neq(g_fixture->RunUnit(), 0);
}

Test(KnownRed, SixLines_Passes) {
  g_fixture->WriteList(Repeat(kListedLine, 6));
  cr_assert_eq(g_fixture->Run("print", ""), 0);
}

Test(KnownRed, SevenLines_Fails) {
  g_fixture->WriteList(Repeat(kListedLine, 7));
  cr_assert_neq(g_fixture->Run("print", ""), 0);
}

Test(KnownRed, LineWithoutCause_Fails) {
  g_fixture->WriteList("S::Listed | make test | seen |  | 7\n");
  cr_assert_neq(g_fixture->Run("print", ""), 0);
}

Test(KnownRed, ListedProgramFails_Passes) {
  g_fixture->WriteList("soak | seed 7 | a breach | a cause | 7\n");
  cr_assert_eq(g_fixture->Run("program", "soak false"), 0);
  cr_assert_neq(g_fixture->Run("program", "prove false"), 0);
}

}  // namespace
}  // namespace sorrelplank
