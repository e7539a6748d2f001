// A stand-in upstream that follows PROTOCOL.md: it echoes the request's id,
// stamps its answers, tells its load, rejects requests for another instance
// with 421, drops a request when its connection closes, and keeps connections
// open. It records each run.

#ifndef REVIEW_KIT_UPSTREAM_H_
#define REVIEW_KIT_UPSTREAM_H_

#include "review/kit/kit.h"

namespace kit {

struct Run {
  std::string request;
  std::string upstream;
  std::string service;
  double began = 0;
  bool was_finished = false;
  bool was_dropped = false;  // the connection closed while it ran
};

// What all upstreams of a case ran.
class Ledger {
 public:
  size_t Begin(const std::string& request,
               const std::string& upstream,
               const std::string& service,
               double now) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back({request, upstream, service, now});
    return m_runs.size() - 1;
  }
  void End(size_t run, bool was_dropped) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[run].was_finished = !was_dropped;
    m_runs[run].was_dropped = was_dropped;
  }
  std::vector<Run> RunsOf(const std::string& request) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Run> runs;
    for (const Run& run : m_runs) {
      if (run.request == request) {
        runs.push_back(run);
      }
    }
    return runs;
  }
  std::vector<Run> All() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
};

class Upstream {
 public:
  Upstream(ServerEntry entry,
           Ledger& ledger,
           Record& record,
           std::function<int(const Message&)> work_ms)
      : m_entry(std::move(entry)),
        m_ledger(ledger),
        m_record(record),
        m_work_ms(std::move(work_ms)),
        m_server(m_entry.address, [this](int fd) { Serve(fd); }) {}

  bool Start() { return m_server.Start(); }
  void Stop() { m_server.Stop(); }
  ServerEntry& Entry() { return m_entry; }

 private:
  static std::string Answer(int status,
                            const std::string& fields,
                            const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (const auto request = reader.Next(10000)) {
      const std::string id = request->Header("sorrelplank-request-id");
      const std::string echo =
          "Sorrelplank-Request-Id: " + id +
          "\r\nSorrelplank-Instance-Id: " + m_entry.id + "\r\n";
      const std::string expected =
          request->Header("sorrelplank-expect-instance");
      if (!expected.empty() && expected != m_entry.id) {
        SendAll(fd, Answer(421, echo, ""));
        continue;
      }
      if (++m_running > m_entry.slots) {
        --m_running;
        SendAll(fd, Answer(503, echo + "Sorrelplank-Not-Executed: 1\r\n", ""));
        continue;
      }
      const size_t run =
          m_ledger.Begin(id, m_entry.id, m_entry.service, m_record.Now());
      m_record.Line("run      %s begins %s %s at %s (%s)", id.c_str(),
                    request->method.c_str(), request->target.c_str(),
                    m_entry.id.c_str(), m_entry.service.c_str());
      const auto until = Clock::now() +
                         std::chrono::milliseconds(m_work_ms(*request));
      bool was_dropped = false;
      while (Clock::now() < until && !was_dropped) {
        was_dropped = IsClosedWithin(fd, 5);
      }
      m_ledger.End(run, was_dropped);
      const std::string load = std::to_string(m_running.load()) + ",0," +
                               std::to_string(m_entry.slots);
      --m_running;
      if (was_dropped) {
        m_record.Line("run      %s dropped: its connection was closed",
                      id.c_str());
        return;
      }
      m_record.Line("run      %s ends", id.c_str());
      SendAll(fd, Answer(200,
                         echo + "Sorrelplank-Server-Stamp: " + m_entry.id +
                             ".1.1.1.0.0\r\nSorrelplank-Server-Load: " + load +
                             "\r\nContent-Type: text/plain\r\n",
                         "body of " + id + " by " + m_entry.id));
    }
  }

  ServerEntry m_entry;
  Ledger& m_ledger;
  Record& m_record;
  std::function<int(const Message&)> m_work_ms;
  std::atomic<int> m_running{0};
  Server m_server;
};

inline std::string Request(const std::string& method,
                           const std::string& host,
                           const std::string& target,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& body = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: " + host +
         "\r\nSorrelplank-Request-Id: " + id +
         "\r\nSorrelplank-Affinity-Key: " + id +
         "\r\nSorrelplank-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n" +
         (method == "GET"
              ? std::string()
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

}  // namespace kit

#endif  // REVIEW_KIT_UPSTREAM_H_
