/// @file read_commands.cc Commands sorrelplank status, explain and timeline.

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command_line.h"
#include "cli/command_type.h"
#include "cli/fleet_reader.h"
#include "config/json_text_func.h"

namespace sorrelplank {

namespace {

using nlohmann::json;

/// Options shared by all commands that read from entry VMs.
struct ReadArguments {
  explicit ReadArguments(TCLAP::CmdLine& line)
      : m_via("",
              "via",
              "operator address of an entry VM; the first that "
              "responds is used",
              true,
              "IP:PORT",
              line),
        m_json("", "json", "print as JSON", line) {}

  TCLAP::MultiArg<std::string> m_via;
  TCLAP::SwitchArg m_json;
};

/// Parses the arguments. Returns an exit code if the command should end now.
std::optional<int> ParseWithVia(TCLAP::CmdLine& line,
                                std::vector<std::string>& arguments,
                                ReadArguments& options,
                                std::vector<VmAddress>& via) {
  if (const auto exit = ParseArguments(line, arguments)) {
    return exit;
  }
  if (!ParseAddresses(options.m_via.getValue(), via)) {
    return kExitUsage;
  }
  return std::nullopt;
}

int ReportUnreachable() {
  std::cerr << "sorrelplank: no entry VM answers at the --via addresses\n";
  return kExitUnreachable;
}

/// Slots of a service at a place, summed over the entry VMs of the place.
struct SlotTotals {
  uint64_t m_held = 0;
  uint64_t m_free = 0;
};

void PrintStatus(const std::vector<json>& fleet) {
  std::map<std::pair<std::string, std::string>, SlotTotals> slot_totals;
  std::cout << std::left << std::setw(20) << "ENTRY VM" << std::setw(16)
            << "PLACE" << std::setw(9) << "VERSION" << std::setw(10) << "STATE"
            << std::setw(7) << "OPEN"
            << "QUEUED\n";
  for (const json& vm : fleet) {
    const char* state = vm["stopping"].get<bool>() ? "stopping"
                        : vm["fenced"].get<bool>() ? "fenced"
                        : vm["ready"].get<bool>()  ? "ready"
                                                   : "starting";
    std::cout << std::setw(20) << vm["name"].get<std::string>() << std::setw(16)
              << vm["place"].get<std::string>() << std::setw(9)
              << vm["version"].get<uint64_t>() << std::setw(10) << state
              << std::setw(7) << vm["open_calls"].get<uint64_t>()
              << vm["queued_calls"].get<uint64_t>() << "\n";
    for (const json& slots : vm["slots"]) {
      SlotTotals& sum = slot_totals[{vm["place"], slots["service"]}];
      sum.m_held += slots["held"].get<uint64_t>();
      sum.m_free += slots["free"].get<uint64_t>();
    }
  }
  std::cout << "\n"
            << std::setw(16) << "PLACE" << std::setw(24) << "SERVICE"
            << std::setw(7) << "SLOTS"
            << "HEADROOM\n";
  for (const auto& [key, sum] : slot_totals) {
    const uint64_t percent =
        sum.m_held == 0 ? 0 : 100 * sum.m_free / sum.m_held;
    std::cout << std::setw(16) << key.first << std::setw(24) << key.second
              << std::setw(7) << sum.m_held << percent << " %\n";
  }
  for (const auto& [kind, names] : fleet.front()["leaving"].items()) {
    for (const json& name : names) {
      std::cout << "leaving " << kind << ": " << name.get<std::string>()
                << "\n";
    }
  }
}

std::string FormatTime(int64_t unix_us) {
  const std::time_t seconds_part = unix_us / 1000000;
  std::tm utc{};
  gmtime_r(&seconds_part, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%H:%M:%S.") << std::setw(6) << std::setfill('0')
       << unix_us % 1000000;
  return text.str();
}

void PrintEvent(const json& event) {
  std::cout << FormatTime(event["unix_us"].get<int64_t>()) << " " << std::left
            << std::setw(18) << event["vm"].get<std::string>() << " "
            << std::setw(18) << event["kind"].get<std::string>() << " ";
  for (const char* field : {"service", "request"}) {
    const std::string value = event[field];
    std::cout << (value.empty() ? "" : std::string(field) + "=" + value + " ");
  }
  std::cout << event["detail"].get<std::string>() << "\n";
}

}  // namespace

int RunStatus(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Shows versions in force, headroom per place and what is leaving.", ' ',
      SORRELPLANK_VERSION);
  ReadArguments options(line);
  std::vector<VmAddress> via;
  if (const auto exit = ParseWithVia(line, arguments, options, via)) {
    return *exit;
  }
  BlockingHttp http;
  FleetReader reader(http, via);
  const std::vector<json> fleet = reader.ReadAll("/v1/status");
  if (fleet.empty()) {
    return ReportUnreachable();
  }
  if (options.m_json.getValue()) {
    std::cout << json(fleet).dump(2) << "\n";
  } else {
    PrintStatus(fleet);
  }
  return kExitDone;
}

int RunExplain(std::vector<std::string> arguments) {
  TCLAP::CmdLine line(
      "Shows the response that a caller would get now, and which rule decides.",
      ' ', SORRELPLANK_VERSION);
  ReadArguments options(line);
  TCLAP::ValueArg<std::string> client_arg("", "client", "address of the caller",
                                          true, "", "IP", line);
  TCLAP::ValueArg<std::string> service_arg("", "service", "name of a service",
                                           false, "", "NAME", line);
  std::vector<VmAddress> via;
  if (const auto exit = ParseWithVia(line, arguments, options, via)) {
    return *exit;
  }
  BlockingHttp http;
  for (const VmAddress& address : via) {
    const HttpResult result =
        http.Get(address, "/v1/explain" +
                              MakeQuery({{"client", client_arg.getValue()},
                                         {"service", service_arg.getValue()}}));
    if (result.m_end != FetchOutcome::kAnswered) {
      continue;
    }
    const json body = TryParseJsonText(result.m_response.m_body);
    if (result.m_response.m_status != 200 || !body.is_object()) {
      std::cerr << "sorrelplank explain: " << result.m_response.m_body << "\n";
      return kExitRefused;
    }
    if (options.m_json.getValue()) {
      std::cout << body.dump(2) << "\n";
      return kExitDone;
    }
    for (const json& rule : body["rules"]) {
      std::cout << "- " << rule.get<std::string>() << "\n";
    }
    for (const json& vm : body["lookup"]["entry_vms"]) {
      std::cout << "use " << vm["name"].get<std::string>() << " at "
                << vm["ip"].get<std::string>() << ":" << vm["port"] << "\n";
    }
    return kExitDone;
  }
  return ReportUnreachable();
}

int RunTimeline(std::vector<std::string> arguments) {
  TCLAP::CmdLine line("Shows the events of all entry VMs in one order.", ' ',
                      SORRELPLANK_VERSION);
  ReadArguments options(line);
  TCLAP::ValueArg<std::string> service_arg("", "service", "only this service",
                                           false, "", "NAME", line);
  TCLAP::ValueArg<std::string> place_arg("", "place", "only this place", false,
                                         "", "NAME", line);
  TCLAP::ValueArg<std::string> request_arg(
      "", "request", "only this request id", false, "", "ID", line);
  TCLAP::ValueArg<std::string> kind_arg("", "kind", "only this kind", false, "",
                                        "KIND", line);
  std::vector<VmAddress> via;
  if (const auto exit = ParseWithVia(line, arguments, options, via)) {
    return *exit;
  }
  BlockingHttp http;
  FleetReader reader(http, via);
  if (reader.Addresses().empty()) {
    return ReportUnreachable();
  }
  std::vector<json> events;
  const std::string query = MakeQuery({{"service", service_arg.getValue()},
                                       {"place", place_arg.getValue()},
                                       {"request", request_arg.getValue()},
                                       {"kind", kind_arg.getValue()}});
  for (const json& list : reader.ReadAll("/v1/timeline" + query)) {
    events.insert(events.end(), list.begin(), list.end());
  }
  std::sort(events.begin(), events.end(), [](const json& a, const json& b) {
    return a["stamp"].get<uint64_t>() < b["stamp"].get<uint64_t>();
  });
  if (options.m_json.getValue()) {
    std::cout << json(events).dump(2) << "\n";
    return kExitDone;
  }
  for (const json& event : events) {
    PrintEvent(event);
  }
  return kExitDone;
}

}  // namespace sorrelplank
