/// @file soak_main.cc Randomized fault injection with entry VMs as processes.

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "serve/clock_func.h"
#include "soak/soak_environment.h"

namespace sorrelplank::soak {
namespace {

namespace fs = std::filesystem;

/// A fault or planned operation that a run may select.
struct FaultKind {
  const char* m_name;
  bool m_is_planned;
  void (SoakEnvironment::*m_apply)(SoakEnvironment::Random&);
};

constexpr FaultKind kKinds[] = {
    {"stop_vm", true, &SoakEnvironment::StopVm},
    {"drain_server", true, &SoakEnvironment::DrainServer},
    {"change_config", true, &SoakEnvironment::ChangeConfig},
    {"evacuate_domain", true, &SoakEnvironment::EvacuateDomain},
    {"reload_settings", true, &SoakEnvironment::ReloadSettings},
    {"kill_vm", false, &SoakEnvironment::KillVm},
    {"kill_all_vms", false, &SoakEnvironment::KillAllVms},
    {"pause_vm", false, &SoakEnvironment::PauseVm},
    {"crash_server", false, &SoakEnvironment::CrashServer},
    {"reuse_address", false, &SoakEnvironment::ReuseAddress},
    {"delay_server", false, &SoakEnvironment::DelayServer},
    {"reset_server", false, &SoakEnvironment::ResetServer},
    {"silence_server", false, &SoakEnvironment::SilenceServer},
    {"endless_server", false, &SoakEnvironment::SendEndlessly},
    {"cut_vm_from_store", false, &SoakEnvironment::CutVmFromStore},
    {"join_beside_cut_vm", false, &SoakEnvironment::JoinBesideCutVm},
    {"cut_vms_from_servers", false, &SoakEnvironment::CutVmsFromServers},
    {"store_refuses", false, &SoakEnvironment::StoreRefuses},
    {"store_is_silent", false, &SoakEnvironment::StoreIsSilent},
    {"store_is_slow", false, &SoakEnvironment::StoreIsSlow},
    {"store_loses_answers", false, &SoakEnvironment::StoreLosesAnswers},
    {"store_forgets_history", false, &SoakEnvironment::StoreForgetsHistory},
    {"restore_store", false, &SoakEnvironment::RestoreStore},
    {"restart_server_under_its_id", false,
     &SoakEnvironment::RestartServerUnderItsId},
    {"overwrite_server_entry", false, &SoakEnvironment::OverwriteServerEntry},
    {"repeat_crashing_request", false, &SoakEnvironment::RepeatCrashingRequest},
    {"name_limit", true, &SoakEnvironment::NameLimit},
    {"say_leaving", true, &SoakEnvironment::SayLeaving},
    {"ask_for_pause", true, &SoakEnvironment::AskForPause},
};

/// Time from the start of the processes to the first fault.
constexpr Duration kWarmUp = seconds(4);
/// Bounds of the random pause between faults.
constexpr int kMinPauseMs = 150;
constexpr int kMaxPauseMs = 1200;
/// Time after the last fault within which callers must be served again, however
/// busy the machine is.
constexpr Duration kMaxRecoveryTime = seconds(40);
/// Fraction of the requests of one second that must succeed for callers to
/// count as served.
constexpr double kMinServedFraction = 0.9;
/// Time within which a new version must be in force, however busy the machine
/// is, and the interval at which that is checked.
constexpr Duration kMaxConfigTime = seconds(15);
constexpr Duration kConfigProbeInterval = milliseconds(300);
constexpr Duration kIdlePollInterval = milliseconds(50);

/// Options of a run, from the command line.
struct SoakOptions {
  std::string m_program;
  std::string m_folder;
  uint64_t m_seed = 1;
  Duration m_length = seconds(20);
  bool m_checks_times = false;
  bool m_only_planned = false;
  bool m_is_verbose = false;
  /// Name of the only kind of fault; empty for all.
  std::string m_only;
};

/// One run with one seed: start, faults, recovery, report.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : m_options(options),
        m_random(options.m_seed),
        m_environment(m_io,
                      {.m_program = options.m_program,
                       .m_folder = options.m_folder,
                       .m_checks_times = options.m_checks_times}) {}

  /// Returns whether every guarantee held and any request succeeded.
  bool Run() {
    m_environment.Start();
    RunFor(kWarmUp);
    const TimePoint ends = SteadyNow() + m_options.m_length;
    while (SteadyNow() < ends) {
      ApplyRandomFault();
      std::uniform_int_distribution<int> pause(kMinPauseMs, kMaxPauseMs);
      RunFor(milliseconds(pause(m_random)));
    }
    m_environment.ClearFaults();
    CheckRecovery();
    CheckConfigInForce();
    m_environment.CheckMemory();
    m_environment.StopCallers();
    const TimePoint idle_by = SteadyNow() + seconds(10);
    while (!m_environment.AreCallersIdle() && SteadyNow() < idle_by) {
      RunFor(kIdlePollInterval);
    }
    return Report();
  }

 private:
  void RunFor(Duration time) { m_io.run_for(time); }

  void ApplyRandomFault() {
    std::vector<const FaultKind*> kinds;
    for (const FaultKind& kind : kKinds) {
      const bool is_chosen =
          m_options.m_only.empty()
              ? kind.m_is_planned || !m_options.m_only_planned
              : m_options.m_only == kind.m_name;
      if (is_chosen) {
        kinds.push_back(&kind);
      }
    }
    const FaultKind& kind = *kinds[m_random() % kinds.size()];
    if (m_options.m_is_verbose) {
      std::cout << "fault " << kind.m_name << std::endl;
    }
    (m_environment.*kind.m_apply)(m_random);
  }

  void CheckRecovery() {
    const TimePoint by = SteadyNow() + kMaxRecoveryTime;
    while (SteadyNow() < by) {
      const LedgerCounts before = m_environment.Records().Counts();
      RunFor(seconds(1));
      const LedgerCounts& after = m_environment.Records().Counts();
      const auto sent = static_cast<double>(after.m_sent - before.m_sent);
      const auto served =
          static_cast<double>(after.m_success - before.m_success);
      if (sent > 0 && served >= kMinServedFraction * sent) {
        return;
      }
    }
    m_environment.Records().Breach("recovery", "-",
                                   "callers were not served again in time");
  }

  /// A version written now must come into force at every VM.
  void CheckConfigInForce() {
    m_environment.ChangeConfig(m_random);
    const TimePoint by = SteadyNow() + kMaxConfigTime;
    while (SteadyNow() < by) {
      m_environment.ProbeNewestRoute();
      RunFor(kConfigProbeInterval);
      if (m_environment.IsNewestRouteInForce()) {
        return;
      }
    }
    m_environment.Records().Breach("configuration", "-",
                                   "on the newest route is refused by a VM");
  }

  bool Report() {
    const LedgerCounts& counts = m_environment.Records().Counts();
    const auto& breaches = m_environment.Records().Breaches();
    std::cout << "soak: seed=" << m_options.m_seed << " sent=" << counts.m_sent
              << " success=" << counts.m_success
              << " not_run=" << counts.m_not_run
              << " failure=" << counts.m_failure << " cut=" << counts.m_cut
              << " not_accepted=" << counts.m_not_accepted
              << " runs=" << counts.m_runs
              << " servers_ended=" << m_environment.Crashing().ServerCrashes()
              << " asked_by_servers=" << m_environment.Notices().NoticeCount()
              << " checked=" << m_environment.Notices().CheckedCount()
              << " breaches=" << breaches.size() << std::endl;
    for (const std::string& breach : breaches) {
      std::cout << "  " << breach << "\n";
    }
    return breaches.empty() && counts.m_success > 0;
  }

  SoakOptions m_options;
  asio::io_context m_io{1};
  SoakEnvironment::Random m_random;
  SoakEnvironment m_environment;
};

/// Runs one seed in a temporary folder, which is kept where the run failed.
bool RunSeed(SoakOptions options) {
  char folder[] = "/tmp/sorrelplank-soak-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    std::cerr << "cannot create a temporary folder for logs\n";
    return false;
  }
  options.m_folder = folder;
  const bool has_passed = SoakRun(options).Run();
  if (has_passed) {
    std::error_code ignored;
    fs::remove_all(folder, ignored);
  } else {
    std::cout << "  logs of the processes: " << folder << std::endl;
  }
  return has_passed;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Runs nine entry VMs as processes among stand-ins, harms them and what "
      "is "
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
  std::vector<std::string> names;
  for (const FaultKind& kind : kKinds) {
    names.emplace_back(kind.m_name);
  }
  TCLAP::ValuesConstraint<std::string> allowed(names);
  TCLAP::ValueArg<std::string> only("", "only", "only this kind of fault",
                                    false, "", &allowed, line);
  TCLAP::SwitchArg verbose("", "verbose", "print each fault", line);
  line.parse(argc, argv);
  uint64_t failed_runs = 0;
  for (uint64_t run = 0; run < runs.getValue(); ++run) {
    const bool has_passed = RunSeed({.m_program = program.getValue(),
                                     .m_folder = "",
                                     .m_seed = seed.getValue() + run,
                                     .m_length = seconds(length.getValue()),
                                     .m_checks_times = timed.getValue(),
                                     .m_only_planned = planned.getValue(),
                                     .m_is_verbose = verbose.getValue(),
                                     .m_only = only.getValue()});
    failed_runs += has_passed ? 0 : 1;
  }
  std::cout << "soak: " << runs.getValue() << " runs, " << failed_runs
            << " broken" << std::endl;
  return failed_runs == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sorrelplank::soak

int main(int argc, char** argv) {
  return sorrelplank::soak::Main(argc, argv);
}
