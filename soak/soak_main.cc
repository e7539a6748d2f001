/// @file soak_main.cc Runs entry VMs as processes under drawn faults.

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "serve/clock_func.h"
#include "soak/soak_world.h"

namespace sorrelplank::soak {
namespace {

namespace fs = std::filesystem;

/// A kind of fault that a run may draw.
struct FaultKind {
  const char* m_name;
  bool m_is_planned;
  void (SoakWorld::*m_apply)(SoakWorld::Random&);
};

constexpr FaultKind kKinds[] = {
    {"stop_vm", true, &SoakWorld::StopVm},
    {"drain_server", true, &SoakWorld::DrainServer},
    {"change_config", true, &SoakWorld::ChangeConfig},
    {"evacuate_domain", true, &SoakWorld::EvacuateDomain},
    {"reload_settings", true, &SoakWorld::ReloadSettings},
    {"kill_vm", false, &SoakWorld::KillVm},
    {"kill_all_vms", false, &SoakWorld::KillAllVms},
    {"pause_vm", false, &SoakWorld::PauseVm},
    {"crash_server", false, &SoakWorld::CrashServer},
    {"reuse_address", false, &SoakWorld::ReuseAddress},
    {"delay_server", false, &SoakWorld::DelayServer},
    {"reset_server", false, &SoakWorld::ResetServer},
    {"silence_server", false, &SoakWorld::SilenceServer},
    {"cut_vm_from_store", false, &SoakWorld::CutVmFromStore},
    {"store_refuses", false, &SoakWorld::StoreRefuses},
    {"store_is_silent", false, &SoakWorld::StoreIsSilent},
    {"store_is_slow", false, &SoakWorld::StoreIsSlow},
    {"store_loses_answers", false, &SoakWorld::StoreLosesAnswers},
    {"store_forgets_history", false, &SoakWorld::StoreForgetsHistory},
    {"restart_server_under_its_id", false, &SoakWorld::RestartServerUnderItsId},
    {"overwrite_server_entry", false, &SoakWorld::OverwriteServerEntry},
    {"repeat_crashing_request", false, &SoakWorld::RepeatCrashingRequest},
    {"name_limit", true, &SoakWorld::NameLimit},
    {"say_leaving", true, &SoakWorld::SayLeaving},
    {"ask_for_pause", true, &SoakWorld::AskForPause},
};

/// Time from the start of the processes until faults begin.
constexpr Duration kWarmUp = seconds(4);
/// Pauses between faults.
constexpr int kShortestPauseMs = 150;
constexpr int kLongestPauseMs = 1200;
/// After the last fault, callers must be served again within this time, on a
/// machine however busy.
constexpr Duration kLongestRecovery = seconds(40);
/// Part of the requests of a second that must be answered for that.
constexpr double kServedPart = 0.9;
constexpr Duration kStep = milliseconds(50);

/// What to run.
struct SoakOptions {
  std::string m_program;
  std::string m_folder;
  uint64_t m_seed = 1;
  Duration m_length = seconds(20);
  bool m_checks_times = false;
  bool m_only_planned = false;
  bool m_is_verbose = false;
};

/// One run: start, faults, recovery.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : m_options(options),
        m_random(options.m_seed),
        m_world(m_io,
                {.m_program = options.m_program,
                 .m_folder = options.m_folder,
                 .m_checks_times = options.m_checks_times}) {}

  /// Whether every promise held.
  bool Run() {
    m_world.Start();
    Pass(kWarmUp);
    const TimePoint ends = SteadyNow() + m_options.m_length;
    while (SteadyNow() < ends) {
      DrawFault();
      std::uniform_int_distribution<int> pause(kShortestPauseMs,
                                               kLongestPauseMs);
      Pass(milliseconds(pause(m_random)));
    }
    m_world.Heal();
    CheckRecovery();
    m_world.StopCallers();
    const TimePoint idle_by = SteadyNow() + seconds(10);
    while (!m_world.AreCallersIdle() && SteadyNow() < idle_by) {
      Pass(kStep);
    }
    return Report();
  }

 private:
  void Pass(Duration time) { m_io.run_for(time); }

  void DrawFault() {
    std::vector<const FaultKind*> kinds;
    for (const FaultKind& kind : kKinds) {
      if (kind.m_is_planned || !m_options.m_only_planned) {
        kinds.push_back(&kind);
      }
    }
    const FaultKind& kind = *kinds[m_random() % kinds.size()];
    if (m_options.m_is_verbose) {
      std::cout << "fault " << kind.m_name << std::endl;
    }
    (m_world.*kind.m_apply)(m_random);
  }

  void CheckRecovery() {
    const TimePoint by = SteadyNow() + kLongestRecovery;
    while (SteadyNow() < by) {
      const LedgerCounts before = m_world.Records().Counts();
      Pass(seconds(1));
      const LedgerCounts& after = m_world.Records().Counts();
      const auto sent = static_cast<double>(after.m_sent - before.m_sent);
      const auto served =
          static_cast<double>(after.m_success - before.m_success);
      if (sent > 0 && served >= kServedPart * sent) {
        return;
      }
    }
    m_world.Records().Breach("recovery", "-", "callers are not served again");
  }

  bool Report() {
    const LedgerCounts& counts = m_world.Records().Counts();
    const auto& breaches = m_world.Records().Breaches();
    std::cout << "soak: seed=" << m_options.m_seed << " sent=" << counts.m_sent
              << " success=" << counts.m_success
              << " not_run=" << counts.m_not_run
              << " failure=" << counts.m_failure << " cut=" << counts.m_cut
              << " not_accepted=" << counts.m_not_accepted
              << " runs=" << counts.m_runs
              << " servers_ended=" << m_world.Crashing().ServersEnded()
              << " asked_by_servers=" << m_world.Notices().AskedCount()
              << " checked=" << m_world.Notices().CheckedCount()
              << " breaches=" << breaches.size() << std::endl;
    for (const std::string& breach : breaches) {
      std::cout << "  " << breach << "\n";
    }
    return breaches.empty() && counts.m_success > 0;
  }

  SoakOptions m_options;
  asio::io_context m_io{1};
  SoakWorld::Random m_random;
  SoakWorld m_world;
};

/// Runs one seed in a folder of its own, which stays where a promise broke.
bool RunSeed(SoakOptions options) {
  char folder[] = "/tmp/sorrelplank-soak-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    std::cerr << "no folder for logs\n";
    return false;
  }
  options.m_folder = folder;
  const bool is_good = SoakRun(options).Run();
  if (is_good) {
    std::error_code ignored;
    fs::remove_all(folder, ignored);
  } else {
    std::cout << "  logs of the processes: " << folder << std::endl;
  }
  return is_good;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Runs six entry VMs as processes among stand-ins, harms them and what is "
      "around them by faults drawn from a seed, and checks what callers and "
      "backend servers see. Exit code 1 where a promise broke.",
      ' ', "0.1");
  TCLAP::ValueArg<std::string> program("", "program", "the sorrelplank binary",
                                       true, "", "FILE", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "first seed", false, 1, "N", line);
  TCLAP::ValueArg<uint64_t> runs("", "runs", "seeds in a row", false, 1, "N",
                                 line);
  TCLAP::ValueArg<int> length("", "seconds", "time under faults, a run", false,
                              20, "S", line);
  TCLAP::SwitchArg timed("", "timed",
                         "also check promises with a time bound; for a machine "
                         "that does nothing else",
                         line);
  TCLAP::SwitchArg planned("", "planned", "only planned work, no faults", line);
  TCLAP::SwitchArg verbose("", "verbose", "print each fault", line);
  line.parse(argc, argv);
  uint64_t broken = 0;
  for (uint64_t run = 0; run < runs.getValue(); ++run) {
    const bool is_good = RunSeed({.m_program = program.getValue(),
                                  .m_folder = "",
                                  .m_seed = seed.getValue() + run,
                                  .m_length = seconds(length.getValue()),
                                  .m_checks_times = timed.getValue(),
                                  .m_only_planned = planned.getValue(),
                                  .m_is_verbose = verbose.getValue()});
    broken += is_good ? 0 : 1;
  }
  std::cout << "soak: " << runs.getValue() << " runs, " << broken << " broken"
            << std::endl;
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sorrelplank::soak

int main(int argc, char** argv) {
  return sorrelplank::soak::Main(argc, argv);
}
