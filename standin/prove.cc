/// @file prove.cc Fault injection tests with real processes on loopback.
///
/// Each case starts its own deployment, generates load, injects a fault and
/// compares the verdicts that callers received with the runs that backend
/// servers counted.

#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "net/http_client.h"
#include "standin/fleet.h"
#include "standin/load.h"

namespace sorrelplank {
namespace {

using nlohmann::json;

constexpr double kLoadShare = 0.25;
constexpr uint64_t kSeed = 1;

/// The deployment of a case and the problems found.
struct Context {
  Fleet& m_fleet;
  std::vector<std::string> m_problems;
  /// Backend server that DrainFirstBackend drained; empty: none.
  std::string m_drained_server;

  void Expect(bool holds, const std::string& problem) {
    if (!holds) {
      m_problems.push_back(problem);
    }
  }
};

/// A fault injection test; m_on_second injects the fault at some second of the
/// load.
struct Case {
  const char* m_name;
  int m_seconds;
  bool m_is_in_short_set;
  std::function<void(Context&, int second)> m_on_second;
  std::function<void(Context&, const ServiceTally&)> m_check_result;
};

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

json StatusOf(Fleet& fleet, const std::string& vm) {
  return json::parse(
      fleet.HttpCall("GET",
                     "http://" + fleet.OperatorAddress(vm) + "/v1/status", ""),
      nullptr, false);
}

uint64_t VersionOf(Fleet& fleet, const std::string& vm) {
  const json status = StatusOf(fleet, vm);
  return status.is_object() ? status.value("version", uint64_t{0}) : 0;
}

std::vector<std::string> IpsOfPlace(const Fleet& fleet,
                                    const std::string& place) {
  std::vector<std::string> ips;
  for (const FleetVm& vm : fleet.Vms()) {
    if (vm.m_place == place) {
      ips.push_back(vm.m_ip);
    }
  }
  return ips;
}

/// Cuts the entry VMs of two places off from each other, in both directions.
void PartitionPlaces(Fleet& fleet, const std::string& a, const std::string& b) {
  for (const FleetVm& vm : fleet.Vms()) {
    if (vm.m_place == a || vm.m_place == b) {
      fleet.CutOff(vm.m_name, IpsOfPlace(fleet, vm.m_place == a ? b : a));
    }
  }
}

/// Sends raw bytes to a port and returns what arrives until the connection
/// ends, within 700 ms.
std::string SendRaw(const std::string& ip, int port, const std::string& text) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  std::error_code error;
  socket.connect({asio::ip::make_address(ip), static_cast<uint16_t>(port)},
                 error);
  if (error) {
    return "";
  }
  asio::write(socket, asio::buffer(text), error);
  std::string response;
  asio::steady_timer limit(io, std::chrono::milliseconds(700));
  std::array<char, 4096> buffer{};
  limit.async_wait([&](std::error_code) { socket.close(error); });
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer),
                           [&](std::error_code end, size_t bytes) {
                             response.append(buffer.data(), bytes);
                             if (end) {
                               limit.cancel();
                               return;
                             }
                             read();
                           });
  };
  read();
  io.run();
  return response;
}

void SendBadInput(Context& context) {
  const FleetVm& vm = context.m_fleet.Vms().front();
  constexpr int kCallerPort = 8080;
  constexpr int kPeerPort = 7070;
  const std::string big(5U << 20U, 'x');
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\r\n\r\n", ""},
      {"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", " 404 "},
      {"PUT /v1/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
       " 405 "},
      {"GET /v1/lookup?client=me HTTP/1.1\r\nHost: a\r\n\r\n", " 400 "},
      {"GET /v1/call/unknown HTTP/1.1\r\nHost: a\r\n\r\n", " 404 "},
      {"GET /v1/call/hours-lookup HTTP/1.1\r\nHost: a\r\n"
       "sorrelplank-deadline-ms: soon\r\n\r\n",
       " 400 "},
      {"POST /v1/call/hours-lookup HTTP/1.1\r\nHost: a\r\n"
       "Content-Length: " +
           std::to_string(big.size()) + "\r\n\r\n" + big,
       " 413 "},
      {"GET / HTTP/1.1\r\nHost: a\r\nx: " + std::string(100000, 'y') +
           "\r\n\r\n",
       ""},
  };
  for (const auto& [text, expected] : cases) {
    const std::string response = SendRaw(vm.m_ip, kCallerPort, text);
    context.Expect(response.find(expected) != std::string::npos,
                   "bad input \"" + text.substr(0, 40) + "\" was answered \"" +
                       response.substr(0, 40) + "\"");
  }
  SendRaw(vm.m_ip, kPeerPort, "this is no gRPC at all\r\n\r\n");
  SendRaw(vm.m_ip, kPeerPort,
          std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") +
              std::string(64, '\xff'));
  context.Expect(VersionOf(context.m_fleet, vm.m_name) > 0,
                 "the entry VM no longer answers after bad input");
}

void RaceOperators(Context& context) {
  Fleet& fleet = context.m_fleet;
  std::vector<std::thread> operators;
  std::vector<int> exits(4, -1);
  for (int number = 0; number < 4; ++number) {
    const std::string folder =
        fleet.WorkFolder() + "/operator" + std::to_string(number);
    std::filesystem::copy(fleet.Folder(), folder);
    WriteFile(folder + "/9" + std::to_string(number) + "-note.json",
              R"({"regions":{"extra)" + std::to_string(number) + "\":{}}}");
    operators.emplace_back([&fleet, &exits, number, folder] {
      exits[static_cast<size_t>(number)] =
          fleet.Run({"apply", folder, "--platform", Fleet::PlatformAddress()})
              .first;
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  for (const int exit : exits) {
    context.Expect(exit == 0,
                   "a concurrent operator's disjoint change was "
                   "refused, exit code " +
                       std::to_string(exit));
  }
}

void DrainFirstBackend(Context& context) {
  Fleet& fleet = context.m_fleet;
  const std::string& name = fleet.Config().m_backends.front().m_name;
  WriteFile(fleet.Folder() + "/95-leaving.json",
            R"({"backend_servers":{")" + name + R"(":{"leaving":true}}})");
  // Without --wait: an entry VM that is cut off never confirms the change, and
  // waiting here would stop the load generator too.
  const int exit = fleet
                       .Run({"apply", fleet.Folder(), "--platform",
                             Fleet::PlatformAddress()})
                       .first;
  context.Expect(exit == 0,
                 "the configuration that drains a server was refused");
  context.m_drained_server = name;
}

std::vector<Case> AllCases() {
  std::vector<Case> cases;
  const auto nothing = [](Context&, int) {};
  const auto no_check = [](Context&, const ServiceTally&) {};
  cases.push_back({"calm", 5, false, nothing,
                   [](Context& context, const ServiceTally& total) {
                     context.Expect(total.m_answered == total.m_sent,
                                    "not all requests were answered");
                   }});
  cases.push_back({"bad_input", 4, true,
                   [](Context& context, int second) {
                     if (second == 1) {
                       SendBadInput(context);
                     }
                   },
                   [](Context& context, const ServiceTally& total) {
                     context.Expect(
                         total.m_answered == total.m_sent,
                         "bad input affected requests of other callers");
                   }});
  cases.push_back({"kill_entry_vm", 8, true,
                   [](Context& context, int second) {
                     if (second == 2) {
                       context.m_fleet.Signal(
                           context.m_fleet.Vms().front().m_name, SIGKILL);
                     }
                   },
                   no_check});
  cases.push_back({"planned_stop", 10, true,
                   [](Context& context, int second) {
                     if (second == 2) {
                       context.m_fleet.Signal(
                           context.m_fleet.Vms().front().m_name, SIGTERM);
                     }
                   },
                   [](Context& context, const ServiceTally& total) {
                     const int exit = context.m_fleet.WaitExit(
                         context.m_fleet.Vms().front().m_name, seconds(10));
                     context.Expect(exit == 0,
                                    "the planned stop ended with exit code " +
                                        std::to_string(exit));
                     context.Expect(total.m_may_have_run == 0,
                                    "a planned stop interrupted a request");
                   }});
  cases.push_back({"freeze", 14, false,
                   [](Context& context, int second) {
                     const std::string& vm =
                         context.m_fleet.Vms().front().m_name;
                     if (second == 2) {
                       context.m_fleet.Signal(vm, SIGSTOP);
                     } else if (second == 9) {
                       context.m_fleet.Signal(vm, SIGCONT);
                     }
                   },
                   no_check});
  cases.push_back({"cut_domains", 12, false,
                   [](Context& context, int second) {
                     Fleet& fleet = context.m_fleet;
                     const std::string& a = fleet.Config().m_places[0].m_name;
                     const std::string& b = fleet.Config().m_places[2].m_name;
                     if (second == 2) {
                       PartitionPlaces(fleet, a, b);
                     } else if (second == 8) {
                       for (const FleetVm& vm : fleet.Vms()) {
                         fleet.CutOff(vm.m_name, {"127.99.99.99"});
                       }
                     }
                   },
                   no_check});
  cases.push_back(
      {"cut_off_entirely", 12, false,
       [](Context& context, int second) {
         Fleet& fleet = context.m_fleet;
         const std::string& place = fleet.Config().m_places[0].m_name;
         std::vector<std::string> others = {"127.9.0.1"};
         for (const FleetVm& vm : fleet.Vms()) {
           if (vm.m_place != place) {
             others.push_back(vm.m_ip);
           }
         }
         for (const FleetVm& vm : fleet.Vms()) {
           if (vm.m_place == place && second == 2) {
             fleet.CutOff(vm.m_name, others);
           } else if (second == 3) {
             if (vm.m_place != place) {
               fleet.CutOff(vm.m_name, IpsOfPlace(fleet, place));
             }
           } else if (second == 8) {
             fleet.CutOff(vm.m_name, {"127.99.99.99"});
           }
         }
         if (second == 5) {
           DrainFirstBackend(context);
         }
       },
       [](Context& context, const ServiceTally&) {
         std::this_thread::sleep_for(std::chrono::seconds(3));
         for (const FleetVm& vm : context.m_fleet.Vms()) {
           context.Expect(
               VersionOf(context.m_fleet, vm.m_name) == 2,
               vm.m_name +
                   " is not on version 2 after its connections were restored");
         }
       }});
  cases.push_back(
      {"platform_outage", 12, false,
       [](Context& context, int second) {
         if (second == 2) {
           context.m_fleet.SetPlatformFaults(R"({"silent_ms":6000})");
         }
       },
       [](Context& context, const ServiceTally& total) {
         context.Expect(total.m_answered == total.m_sent,
                        "callers were affected by the platform outage");
         DrainFirstBackend(context);
       }});
  cases.push_back(
      {"apply_answer_lost", 6, false,
       [](Context& context, int second) {
         if (second == 2) {
           // Loses the responses to the writes of the chunk and of the head.
           context.m_fleet.SetPlatformFaults(R"({"lose_answers":2})");
           DrainFirstBackend(context);
         }
       },
       [](Context& context, const ServiceTally&) {
         for (const FleetVm& vm : context.m_fleet.Vms()) {
           context.Expect(VersionOf(context.m_fleet, vm.m_name) == 2,
                          vm.m_name + " does not run version 2");
         }
       }});
  cases.push_back(
      {"operators_race", 8, false,
       [](Context& context, int second) {
         if (second == 2) {
           RaceOperators(context);
         }
       },
       [](Context& context, const ServiceTally& total) {
         std::this_thread::sleep_for(std::chrono::seconds(2));
         for (const FleetVm& vm : context.m_fleet.Vms()) {
           context.Expect(VersionOf(context.m_fleet, vm.m_name) == 5,
                          vm.m_name + " does not run version 5");
         }
         context.Expect(total.m_answered == total.m_sent,
                        "callers were affected by the concurrent operators");
       }});
  cases.push_back({"domain_killed_in_outage", 12, false,
                   [](Context& context, int second) {
                     if (second == 2) {
                       context.m_fleet.SetPlatformFaults(
                           R"({"refuse_ms":8000})");
                       const std::string& place =
                           context.m_fleet.Config().m_places[0].m_name;
                       for (const FleetVm& vm : context.m_fleet.Vms()) {
                         if (vm.m_place == place) {
                           context.m_fleet.Signal(vm.m_name, SIGKILL);
                         }
                       }
                     }
                   },
                   no_check});
  return cases;
}

void CheckServerLimits(Context& context, const std::vector<json>& stats) {
  for (const json& server : stats) {
    const auto peak = server["peak"].get<uint64_t>();
    const auto slots = server["slots"].get<uint64_t>();
    const auto shed = server["shed"].get<uint64_t>();
    context.Expect(peak <= slots && shed == 0,
                   server["name"].get<std::string>() +
                       " received more requests than it has slots (" +
                       std::to_string(shed) + " refused)");
  }
}

bool RunCase(const Case& test,
             const std::string& binaries,
             const std::string& folder) {
  Fleet fleet(binaries, folder);
  fleet.StartAll();
  std::vector<std::string> names;
  for (const FleetVm& vm : fleet.Vms()) {
    names.push_back(vm.m_name);
  }
  Context context{fleet, {}, ""};
  context.Expect(fleet.WaitReady(names, seconds(30)),
                 "entry VMs were not ready within 30 s");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Load load(fleet, MakeLoad(fleet.Config(), kLoadShare), kSeed);
  load.RunFor(seconds(test.m_seconds),
              [&](int second) { test.m_on_second(context, second); });
  const ServiceTally total = load.Total();
  test.m_check_result(context, total);
  const std::vector<json> stats = fleet.BackendStats();
  load.CheckRuns(stats);
  CheckServerLimits(context, stats);
  const ServiceTally checked = load.Total();
  context.Expect(checked.m_wrong == 0, "a caller received a wrong response");
  context.Expect(checked.m_doubled == 0,
                 "a request with a key ran more than once");
  context.Expect(checked.m_lost == 0, "a caller received a false verdict");
  std::cout << "prove: " << test.m_name
            << (context.m_problems.empty() ? " held" : " BROKEN")
            << " sent=" << checked.m_sent << " answered=" << checked.m_answered
            << " not_run=" << checked.m_not_run
            << " may_have_run=" << checked.m_may_have_run
            << " wrong=" << checked.m_wrong << " doubled=" << checked.m_doubled
            << " lost=" << checked.m_lost << std::endl;
  for (const std::string& problem : context.m_problems) {
    std::cout << "prove:   " << problem << std::endl;
  }
  return context.m_problems.empty();
}

int Main(const std::string& which) {
  const auto binaries =
      std::filesystem::canonical("/proc/self/exe").parent_path();
  const std::string folder = "examples/trasa";
  int passed_cases = 0;
  int failed_cases = 0;
  for (const Case& test : AllCases()) {
    const bool is_wanted = which == "all" ||
                           (which == "short" && test.m_is_in_short_set) ||
                           which == test.m_name;
    if (is_wanted) {
      ++(RunCase(test, binaries.string(), folder) ? passed_cases
                                                  : failed_cases);
    }
  }
  std::cout << "prove: held=" << passed_cases << " broken=" << failed_cases
            << std::endl;
  return passed_cases > 0 && failed_cases == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sorrelplank

int main(int argc, char** argv) {
  try {
    return sorrelplank::Main(argc > 1 ? argv[1] : "all");
  } catch (const std::exception& error) {
    std::cerr << "prove: " << error.what() << "\n";
    return 1;
  }
}
