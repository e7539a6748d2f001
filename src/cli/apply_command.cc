/// @file apply_command.cc Commands sorrelplank diff and sorrelplank apply.

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include "cli/blocking_http.h"
#include "cli/command_line.h"
#include "cli/command_type.h"
#include "cli/folder.h"
#include "config/json_text_func.h"
#include "config/publish_func.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

constexpr Duration kMaxInForceWait = seconds(30);
constexpr Duration kInForcePollInterval = milliseconds(200);

const char* ChangeName(FileChange change) {
  switch (change) {
    case FileChange::kAdded:
      return "added";
    case FileChange::kChanged:
      return "changed";
    case FileChange::kRemoved:
      return "removed";
  }
  return "";
}

std::string MakeChangeId() {
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device();
  return id.str();
}

/// Output of one command, as text or as JSON.
class Report {
 public:
  explicit Report(bool as_json) : m_as_json(as_json) {}

  int Finish(int exit,
             const std::string& outcome,
             const std::string& text,
             json fields = json::object()) {
    if (m_as_json) {
      fields["outcome"] = outcome;
      fields["text"] = text;
      std::cout << fields.dump() << "\n";
    } else {
      (exit == kExitDone ? std::cout : std::cerr) << text << "\n";
    }
    return exit;
  }

  void PrintChanges(const std::vector<PlannedFile>& changes,
                    const std::vector<std::string>& rebased) const {
    if (m_as_json) {
      return;
    }
    for (const PlannedFile& file : changes) {
      std::cout << ChangeName(file.m_change) << " " << file.m_name << "\n";
    }
    for (const std::string& name : rebased) {
      std::cout << "kept " << name
                << " as another operator accepted it; your copy is older\n";
    }
  }

 private:
  bool m_as_json;
};

json ChangesToJson(const std::vector<PlannedFile>& changes) {
  json list = json::array();
  for (const PlannedFile& file : changes) {
    list.push_back(
        {{"file", file.m_name}, {"change", ChangeName(file.m_change)}});
  }
  return list;
}

int ReportRefused(Report& report, const PublishRefused& refused) {
  std::string text;
  for (const Fault& fault : refused.m_faults) {
    text += (text.empty() ? "" : "\n") + FormatFault(fault);
  }
  return report.Finish(kExitRefused, "refused", text);
}

int ReportConflict(Report& report, const PublishConflict& conflict) {
  std::string text = "refused: changed here since version " +
                     std::to_string(conflict.m_base.Get()) +
                     " and by another operator up to version " +
                     std::to_string(conflict.m_current.Get()) + ":";
  for (const std::string& file : conflict.m_files) {
    text += " " + file;
  }
  return report.Finish(kExitRefused, "conflict", text,
                       {{"files", conflict.m_files},
                        {"base_version", conflict.m_base.Get()},
                        {"current_version", conflict.m_current.Get()}});
}

/// Configuration versions of the entry VMs, as reported by one of them.
struct FleetVersions {
  uint64_t m_highest = 0;
  std::vector<std::string> m_behind;
  std::vector<std::string> m_unreachable;
  bool m_is_known = false;
};

FleetVersions ReadVersions(BlockingHttp& http,
                           const std::vector<VmAddress>& via,
                           uint64_t wanted) {
  FleetVersions versions;
  for (const VmAddress& address : via) {
    const HttpResult result = http.Get(address, "/v1/status");
    const json status = TryParseJsonText(result.m_response.m_body);
    if (result.m_end != FetchOutcome::kAnswered || !status.is_object()) {
      continue;
    }
    versions.m_is_known = true;
    auto count = [&](const std::string& name, uint64_t version) {
      versions.m_highest = std::max(versions.m_highest, version);
      if (version < wanted) {
        versions.m_behind.push_back(name);
      }
    };
    count(status.value("name", ""), status.value("version", uint64_t{0}));
    for (const json& member : status["members"]) {
      if (member.value("alive", false)) {
        count(member.value("name", ""), member.value("version", uint64_t{0}));
      } else {
        versions.m_unreachable.push_back(member.value("name", ""));
      }
    }
    return versions;
  }
  return versions;
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

/// Waits until every reachable entry VM uses the version.
int WaitUntilInForce(BlockingHttp& http,
                     Report& report,
                     const std::vector<VmAddress>& via,
                     uint64_t version) {
  const auto started = std::chrono::steady_clock::now();
  FleetVersions fleet;
  while (std::chrono::steady_clock::now() - started < kMaxInForceWait) {
    fleet = ReadVersions(http, via, version);
    if (fleet.m_is_known && fleet.m_behind.empty()) {
      const std::string missing =
          fleet.m_unreachable.empty()
              ? ""
              : "; unreachable: " + Join(fleet.m_unreachable);
      return report.Finish(
          kExitDone, "in_force",
          "version " + std::to_string(version) +
              " is in force in every reachable place" + missing,
          {{"version", version}, {"unreachable", fleet.m_unreachable}});
    }
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  const std::string text =
      fleet.m_is_known
          ? "accepted, but not yet in force at: " + Join(fleet.m_behind)
          : "accepted, but no entry VM answers --via";
  return report.Finish(kExitUnreachable, "accepted_not_in_force", text,
                       {{"version", version}, {"behind", fleet.m_behind}});
}

/// Options that diff and apply share.
struct PublishArguments {
  explicit PublishArguments(TCLAP::CmdLine& line)
      : m_folder("folder", "folder of JSON files", true, "", "FOLDER", line),
        m_platform("",
                   "platform",
                   "address of the platform",
                   true,
                   "IP:PORT",
                   line),
        m_json("", "json", "print the outcome as JSON", line) {}

  TCLAP::UnlabeledValueArg<std::string> m_folder;
  TCLAP::MultiArg<std::string> m_platform;
  TCLAP::SwitchArg m_json;
};

int Apply(const PublishRequest& request,
          const std::string& folder,
          const PlatformStore& store,
          Report& report,
          uint64_t& version) {
  PublishResult result = Publish(request, store);
  if (const auto* refused = std::get_if<PublishRefused>(&result)) {
    return ReportRefused(report, *refused);
  }
  if (const auto* conflict = std::get_if<PublishConflict>(&result)) {
    return ReportConflict(report, *conflict);
  }
  if (const auto* unavailable = std::get_if<PublishUnavailable>(&result)) {
    return report.Finish(kExitUnreachable, "unavailable",
                         "nothing was accepted: " + unavailable->m_reason);
  }
  if (const auto* unknown = std::get_if<PublishUnknown>(&result)) {
    return report.Finish(
        kExitUnreachable, "unknown",
        "it is not known whether the change was accepted; once the platform "
        "answers, settle it with: sorrelplank apply " +
            folder + " --change-id " + unknown->m_change_id,
        {{"change_id", unknown->m_change_id}});
  }
  const auto& accepted = std::get<PublishAccepted>(result);
  version = accepted.m_head.m_version.Get();
  report.PrintChanges(accepted.m_changes, accepted.m_rebased);
  if (accepted.m_rebased.empty()) {
    WriteBase(folder, accepted.m_head);
  }
  return report.Finish(kExitDone, "accepted",
                       "accepted as version " + std::to_string(version),
                       {{"version", version},
                        {"changes", ChangesToJson(accepted.m_changes)},
                        {"kept", accepted.m_rebased}});
}

}  // namespace

int RunDiff(std::vector<std::string> arguments) {
  TCLAP::CmdLine line("Shows what an apply would change.", ' ',
                      SORRELPLANK_VERSION);
  PublishArguments options(line);
  if (const auto exit = ParseArguments(line, arguments)) {
    return *exit;
  }
  std::vector<VmAddress> platform;
  if (!ParseAddresses(options.m_platform.getValue(), platform)) {
    return kExitUsage;
  }
  Report report(options.m_json.getValue());
  try {
    const std::string& folder = options.m_folder.getValue();
    BlockingHttp http;
    const PlanResult result = PlanPublish(ReadFolder(folder), ReadBase(folder),
                                          http.Platform(platform));
    if (const auto* refused = std::get_if<PublishRefused>(&result)) {
      return ReportRefused(report, *refused);
    }
    if (const auto* conflict = std::get_if<PublishConflict>(&result)) {
      return ReportConflict(report, *conflict);
    }
    if (const auto* unavailable = std::get_if<PublishUnavailable>(&result)) {
      return report.Finish(kExitUnreachable, "unavailable",
                           unavailable->m_reason);
    }
    const auto& plan = std::get<PublishPlan>(result);
    report.PrintChanges(plan.m_changes, plan.m_rebased);
    return report.Finish(kExitDone, "planned",
                         std::to_string(plan.m_changes.size()) +
                             " files differ from version " +
                             std::to_string(plan.m_parent_version.Get()),
                         {{"changes", ChangesToJson(plan.m_changes)},
                          {"kept", plan.m_rebased},
                          {"version", plan.m_parent_version.Get()}});
  } catch (const std::runtime_error& error) {
    return report.Finish(kExitRefused, "refused", error.what());
  }
}

int RunApply(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Publishes a configuration folder. Prints the accepted version.", ' ',
      SORRELPLANK_VERSION);
  PublishArguments options(line);
  TCLAP::SwitchArg wait_arg(
      "", "wait", "return once it is in force in every reachable place", line);
  TCLAP::MultiArg<std::string> via_arg(
      "", "via", "operator address of an entry VM, for --wait", false,
      "IP:PORT", line);
  TCLAP::ValueArg<std::string> id_arg(
      "", "change-id", "id of an earlier apply with unknown outcome", false, "",
      "ID", line);
  if (const auto exit = ParseArguments(line, arguments)) {
    return *exit;
  }
  std::vector<VmAddress> platform;
  std::vector<VmAddress> via;
  if (!ParseAddresses(options.m_platform.getValue(), platform) ||
      !ParseAddresses(via_arg.getValue(), via)) {
    return kExitUsage;
  }
  if (wait_arg.getValue() && via.empty()) {
    std::cerr << "sorrelplank apply: --wait needs --via; see --help\n";
    return kExitUsage;
  }
  Report report(options.m_json.getValue());
  try {
    const std::string& folder = options.m_folder.getValue();
    BlockingHttp http;
    PublishRequest request;
    request.m_folder = ReadFolder(folder);
    request.m_base = ReadBase(folder);
    request.m_change_id = id_arg.isSet() ? id_arg.getValue() : MakeChangeId();
    request.m_min_version = ConfigVersion(ReadVersions(http, via, 0).m_highest);
    uint64_t version = 0;
    const int exit =
        Apply(request, folder, http.Platform(platform), report, version);
    if (exit != kExitDone || !wait_arg.getValue()) {
      return exit;
    }
    return WaitUntilInForce(http, report, via, version);
  } catch (const std::runtime_error& error) {
    return report.Finish(kExitRefused, "refused", error.what());
  }
}

}  // namespace sorrelplank
