/// @file backend_server.cc Stand-in for backend servers.
///
/// One process simulates many servers, each on its own address, with slots,
/// service time, cold start, load shedding, cancellation and deadlines. It
/// counts the runs of each request key. See docs/INTERFACE.md.

#include <asio.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace sorrelplank {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Behaviour of one simulated server, as read from the JSON file.
struct ServerSpec {
  std::string m_name;
  std::string m_ip;
  uint16_t m_port = 0;
  uint32_t m_slots = 1;
  double m_run_ms = 20;
  /// Cold start: for this long after the start, requests run m_cold_factor
  /// times as long.
  double m_cold_ms = 0;
  double m_cold_factor = 1;
};

/// One simulated server; it runs at most m_slots requests at a time and
/// rejects further ones with 503.
class BackendStandin {
 public:
  BackendStandin(asio::io_context& io, ServerSpec spec, uint64_t seed)
      : m_io(io),
        m_spec(std::move(spec)),
        m_random(seed),
        m_started(Clock::now()),
        m_server(
            io,
            m_spec.m_ip,
            m_spec.m_port,
            {4U << 20U, 8192},
            [this](HttpRequest request, HttpReply reply) {
              Serve(std::move(request), std::move(reply));
            },
            [this](uint64_t connection) { Cancel(connection); }) {}

 private:
  /// A running request.
  struct Run {
    HttpRequest m_request;
    HttpReply m_reply;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  void Serve(HttpRequest request, HttpReply reply) {
    if (request.m_path == "/standin/stats") {
      reply(Stats());
      return;
    }
    if (request.m_path == "/standin/freeze") {
      m_frozen = request.m_body == "on";
      reply(HttpResponse());
      return;
    }
    if (m_runs.size() >= m_spec.m_slots) {
      ++m_shed;
      HttpResponse shed;
      shed.m_status = 503;
      shed.m_headers.emplace_back("sorrelplank-verdict", "not_run");
      reply(shed);
      return;
    }
    const auto id = request.Header("sorrelplank-request-id").value_or("");
    const auto key = request.Header("sorrelplank-key").value_or("");
    ++m_total;
    if (!key.empty()) {
      ++m_runs_by_key[key];
    }
    const uint64_t connection = request.m_connection;
    const auto run_time = RunTime(request);
    auto timer = std::make_shared<asio::steady_timer>(m_io, run_time);
    m_runs[connection] = {std::move(request), std::move(reply), timer};
    m_peak = std::max(m_peak, m_runs.size());
    timer->async_wait([this, connection, id](std::error_code error) {
      if (!error && !m_frozen) {
        Finish(connection, id);
      }
    });
  }

  Clock::duration RunTime(const HttpRequest& request) {
    std::exponential_distribution<double> spread(1.0);
    double ms = m_spec.m_run_ms * (0.5 + 0.5 * spread(m_random));
    const std::chrono::duration<double, std::milli> age =
        Clock::now() - m_started;
    if (age.count() < m_spec.m_cold_ms) {
      ms *= m_spec.m_cold_factor;
    }
    const auto deadline = request.Header("sorrelplank-deadline-ms");
    if (deadline) {
      ms = std::min(ms, std::stod(*deadline));
    }
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  void Finish(uint64_t connection, const std::string& id) {
    const auto it = m_runs.find(connection);
    if (it == m_runs.end()) {
      return;
    }
    const Run run = std::move(it->second);
    m_runs.erase(it);
    HttpResponse response;
    response.m_headers.emplace_back("sorrelplank-request-id", id);
    response.m_body = json{
        {"echo", run.m_request.m_body},
        {"path", run.m_request.m_path},
        {"server",
         m_spec.m_name}}.dump();
    run.m_reply(response);
  }

  /// Cancels the running request of a connection that the peer closed.
  void Cancel(uint64_t connection) {
    const auto it = m_runs.find(connection);
    if (it == m_runs.end()) {
      return;
    }
    it->second.m_timer->cancel();
    m_runs.erase(it);
    ++m_cancelled;
  }

  HttpResponse Stats() const {
    HttpResponse response;
    response.m_body =
        json{{"name", m_spec.m_name},      {"slots", m_spec.m_slots},
             {"total", m_total},           {"shed", m_shed},
             {"cancelled", m_cancelled},   {"peak", m_peak},
             {"in_flight", m_runs.size()}, {"runs_by_key", m_runs_by_key}}
            .dump();
    return response;
  }

  asio::io_context& m_io;
  ServerSpec m_spec;
  std::mt19937_64 m_random;
  Clock::time_point m_started;
  std::map<uint64_t, Run> m_runs;
  std::map<std::string, uint64_t> m_runs_by_key;
  uint64_t m_total = 0;
  uint64_t m_shed = 0;
  uint64_t m_cancelled = 0;
  size_t m_peak = 0;
  bool m_frozen = false;
  HttpServer m_server;
};

ServerSpec ParseSpec(const json& entry) {
  return {.m_name = entry.at("name"),
          .m_ip = entry.at("ip"),
          .m_port = entry.at("port"),
          .m_slots = entry.at("slots"),
          .m_run_ms = entry.value("run_ms", 20.0),
          .m_cold_ms = entry.value("cold_ms", 0.0),
          .m_cold_factor = entry.value("cold_factor", 1.0)};
}

}  // namespace
}  // namespace sorrelplank

int main(int argc, char** argv) {
  using namespace sorrelplank;
  if (argc != 2) {
    std::cerr << "usage: standin_backend SPEC.json\n";
    return 2;
  }
  std::ifstream in(argv[1]);
  const nlohmann::json specs = nlohmann::json::parse(in);
  asio::io_context io{1};
  std::vector<std::unique_ptr<BackendStandin>> servers;
  uint64_t seed = 1;
  for (const nlohmann::json& entry : specs) {
    servers.push_back(
        std::make_unique<BackendStandin>(io, ParseSpec(entry), seed++));
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code, int) { io.stop(); });
  io.run();
  return 0;
}
