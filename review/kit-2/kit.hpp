// Stand-ins for the scripts of review 2: upstreams, clients and process
// handling, with blocking sockets and threads. All addresses are loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt: what was sent, answered and run.
inline FILE* g_record = nullptr;
inline std::mutex g_record_mutex;
inline void Record(const char* format, ...) {
  std::lock_guard lock(g_record_mutex);
  va_list args;
  va_start(args, format);
  if (g_record != nullptr) {
    fprintf(g_record, "%8.3f ", Now());
    vfprintf(g_record, format, args);
    fputc('\n', g_record);
    fflush(g_record);
  }
  va_end(args);
}

[[noreturn]] inline void CannotRun(const std::string& why);

// A loopback address of this run only.
inline std::string Ip(int host) {
  const int pid = getpid();
  return "127." + std::to_string(20 + pid / 250 % 200) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(host);
}

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port, int& bound_port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    CannotRun("cannot listen on " + ip);
  }
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  bound_port = ntohs(address.sin_port);
  return fd;
}

inline int FreePort(const std::string& ip) {
  int port = 0;
  close(Listen(ip, 0, port));
  return port;
}

inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(tolower(c));
  }
  return text;
}

// A message read from a connection: request or response.
struct Message {
  bool complete = false;
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  int Status() const {
    return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0;
  }
  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads messages from one connection; keeps bytes that belong to the next.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}
  // Messages have a content-length or no body. Waits for timeout_ms at most.
  Message Read(int timeout_ms) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
    Message message;
    size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return message;
      }
    }
    ParseHead(m_buffer.substr(0, end), message);
    const size_t head = end + 4;
    const size_t length =
        static_cast<size_t>(atoll(message.Get("content-length").c_str()));
    while (m_buffer.size() < head + length) {
      if (!Fill(until)) {
        return message;
      }
    }
    message.body = m_buffer.substr(head, length);
    m_buffer.erase(0, head + length);
    message.complete = true;
    return message;
  }
  bool Closed() const { return m_closed; }

 private:
  bool Fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    pollfd waiting{m_fd, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = recv(m_fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      m_closed = true;
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(n));
    return true;
  }
  static void ParseHead(const std::string& head, Message& message) {
    size_t at = head.find("\r\n");
    message.first_line = head.substr(0, at);
    while (at != std::string::npos) {
      const size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(begin, at - begin);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers[Lower(line.substr(0, colon))] = line.substr(value);
      }
    }
  }
  int m_fd;
  bool m_closed = false;
  std::string m_buffer;
};

inline std::string Base64(const std::string& in) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t word = 0;
    for (size_t j = 0; j < 3; ++j) {
      word = word << 8 |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += j <= in.size() - i ? digits[word >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

// Child processes; all are killed at the end.
inline std::mutex g_children_mutex;
inline std::set<pid_t> g_children;
inline pid_t Spawn(const std::vector<std::string>& command,
                   const std::string& settings,
                   const std::string& log) {
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    if (!settings.empty()) {
      setenv("SORRELPLANK_CONFIG", settings.c_str(), 1);
    }
    std::vector<char*> arguments;
    for (const std::string& one : command) {
      arguments.push_back(const_cast<char*>(one.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  std::lock_guard lock(g_children_mutex);
  g_children.insert(pid);
  return pid;
}
// Waits for the end of a child for timeout_ms at most.
inline bool WaitEnd(pid_t pid, int timeout_ms, int* status = nullptr) {
  for (int waited = 0; waited <= timeout_ms; waited += 10) {
    int result = 0;
    if (waitpid(pid, &result, WNOHANG) == pid) {
      if (status != nullptr) {
        *status = result;
      }
      std::lock_guard lock(g_children_mutex);
      g_children.erase(pid);
      return true;
    }
    SleepMs(10);
  }
  return false;
}
inline void EndAll() {
  std::lock_guard lock(g_children_mutex);
  for (const pid_t pid : g_children) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  g_children.clear();
}
[[noreturn]] inline void Exit(int code) {
  Record("exit %d", code);
  EndAll();
  _exit(code);
}
inline void CannotRun(const std::string& why) {
  Record("cannot run: %s", why.c_str());
  fprintf(stderr, "cannot run: %s\n", why.c_str());
  Exit(2);
}

// The platform's store: build target standin_platform of the project.
struct Store {
  std::string ip;
  int port = 0;
  pid_t pid = 0;
  void Start(const std::string& program, const std::string& log) {
    ip = Ip(2);
    port = FreePort(ip);
    pid = Spawn({program, ip, std::to_string(port)}, "", log);
    for (int i = 0; i < 300; ++i) {
      const int fd = Connect(ip, port);
      if (fd >= 0) {
        close(fd);
        return;
      }
      SleepMs(10);
    }
    CannotRun("the store does not start");
  }
  int Call(const std::string& path, const std::string& body) const {
    const int fd = Connect(ip, port);
    if (fd < 0) {
      return 0;
    }
    SendAll(fd, "POST " + path + " HTTP/1.1\r\nHost: store\r\n" +
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) +
                    "\r\nConnection: close\r\n\r\n" + body);
    Reader reader(fd);
    const Message answer = reader.Read(2000);
    close(fd);
    return answer.complete ? answer.Status() : 0;
  }
  // Writes an item; the 200 answer is the confirmation.
  int Put(const std::string& key, const std::string& value) const {
    return Call("/sorrelplank/kv-txn",
                R"({"Expect":[],"Put":[{"Key":")" + key + R"(","Value":")" +
                    Base64(value) + R"(","Lease":0}],"Remove":[]})");
  }
  int Remove(const std::string& key) const {
    return Call("/sorrelplank/kv-txn",
                R"({"Expect":[],"Put":[],"Remove":[")" + key + R"("]})");
  }
};

// What an upstream did with a request.
struct Run {
  std::string id;
  std::string upstream;
  std::string first_line;
  double began = 0;
  double ended = 0;
  bool is_cut = false;  // Its connection was closed while it ran.
};
inline std::mutex g_runs_mutex;
inline std::vector<Run> g_runs;
inline std::vector<Run> RunsOf(const std::string& id) {
  std::lock_guard lock(g_runs_mutex);
  std::vector<Run> runs;
  for (const Run& run : g_runs) {
    if (run.id == id) {
      runs.push_back(run);
    }
  }
  return runs;
}

// A sound upstream: runs a request for the milliseconds that its header
// "x-work-ms" names, drops it when the connection closes, echoes the id, and
// registers itself every HeartbeatS.
class Upstream {
 public:
  Upstream(const Store& store,
           std::string id,
           std::string service,
           std::string zone,
           int slots,
           const std::string& ip)
      : m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_slots(slots),
        m_ip(ip) {
    m_fd = Listen(m_ip, 0, m_port);
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }
  const std::string& Id() const { return m_id; }
  // Ends as a process does that crashes: it says nothing to the store, its
  // connections are reset, and its address refuses new ones.
  void Crash() {
    Record("crash of %s", m_id.c_str());
    shutdown(m_fd, SHUT_RDWR);  // Ends listening at once.
    m_is_dead = true;
  }

 private:
  void Beat() {
    const long long born = 1760000000000LL;
    for (int sequence = 1; !m_is_dead; ++sequence) {
      m_store.Put("servers/" + m_id,
                  R"({"Service":")" + m_service + R"(","Address":")" + m_ip +
                      ":" + std::to_string(m_port) + R"(","Zone":")" + m_zone +
                      R"(","Version":"v1","Slots":)" + std::to_string(m_slots) +
                      R"(,"State":"ready","ColdLeftS":0,"Sequence":)" +
                      std::to_string(sequence) + R"(,"born":)" +
                      std::to_string(born) + "}");
      for (int waited = 0; waited < 1500 && !m_is_dead; waited += 50) {
        SleepMs(50);
      }
    }
    // The store drops an entry after three heartbeat intervals of silence.
    SleepMs(4500);
    m_store.Remove("servers/" + m_id);
  }
  void Accept() {
    while (!m_is_dead) {
      pollfd waiting{m_fd, POLLIN, 0};
      if (poll(&waiting, 1, 5) <= 0) {
        continue;
      }
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] {
          Serve(fd);
          if (m_is_dead) {
            const linger reset{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          }
          close(fd);
        }).detach();
      }
    }
    close(m_fd);
  }
  void Serve(int fd) {
    Reader reader(fd);
    auto idle_until = Clock::now() + std::chrono::seconds(10);
    while (!m_is_dead && Clock::now() < idle_until) {
      const Message request = reader.Read(5);
      if (reader.Closed()) {
        return;
      }
      if (!request.complete) {
        continue;
      }
      if (!Answer(fd, request)) {
        return;
      }
      idle_until = Clock::now() + std::chrono::seconds(10);
    }
  }
  bool Answer(int fd, const Message& request) {
    const std::string id = request.Get("sorrelplank-request-id");
    const std::string load = std::to_string(m_running.load()) + ",0," +
                             std::to_string(m_slots);
    const std::string common =
        "Sorrelplank-Request-Id: " + id + "\r\nSorrelplank-Server-Load: " +
        load + "\r\n";
    const std::string expected = request.Get("sorrelplank-expect-instance");
    if (!expected.empty() && expected != m_id) {
      return SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + common +
                             "Sorrelplank-Instance-Id: " + m_id +
                             "\r\nContent-Length: 0\r\n\r\n");
    }
    if (m_running.load() >= m_slots) {
      return SendAll(fd,
                     "HTTP/1.1 503 Service Unavailable\r\n" + common +
                         "Sorrelplank-Not-Executed: 1\r\nContent-Length: "
                         "0\r\n\r\n");
    }
    ++m_running;
    size_t index = 0;
    {
      std::lock_guard lock(g_runs_mutex);
      index = g_runs.size();
      g_runs.push_back({id, m_id, request.first_line, Now(), 0, false});
    }
    Record("run begins %s at %s: %s, deadline %s", id.c_str(), m_id.c_str(),
           request.first_line.c_str(),
           request.Get("sorrelplank-deadline-ms").c_str());
    const int work = atoi(request.Get("x-work-ms").c_str());
    const bool is_cut = WaitOrClosed(fd, work);
    --m_running;
    {
      std::lock_guard lock(g_runs_mutex);
      g_runs[index].ended = Now();
      g_runs[index].is_cut = is_cut;
    }
    Record("run %s %s at %s", is_cut ? "CUT" : "ends", id.c_str(),
           m_id.c_str());
    if (is_cut) {
      return false;
    }
    const std::string body = "answer to " + id + "\n";
    return SendAll(fd, "HTTP/1.1 200 OK\r\n" + common +
                           "Sorrelplank-Server-Stamp: stamp-" + id +
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // Returns true if the connection was closed within the time.
  bool WaitOrClosed(int fd, int ms) const {
    const auto until = Clock::now() + std::chrono::milliseconds(ms);
    while (Clock::now() < until) {
      if (m_is_dead) {
        return true;
      }
      pollfd waiting{fd, POLLIN | POLLRDHUP, 0};
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          until - Clock::now());
      if (poll(&waiting, 1, std::min(static_cast<int>(left.count()) + 1, 5)) >
          0) {
        char byte = 0;
        if ((waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 ||
            recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
          return true;
        }
        SleepMs(5);
      }
    }
    return false;
  }

  const Store& m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_slots;
  std::string m_ip;
  int m_port = 0;
  int m_fd = -1;
  std::atomic<int> m_running{0};
  std::atomic<bool> m_is_dead{false};
};

struct Edge {
  std::string name;
  std::string zone;
  std::string region;
  std::string ip;
  int front = 0;
  int ready = 0;
  int directory = 0;
  std::string settings;
  std::string log;
  pid_t pid = 0;
};

// Three zones in three regions, as in a small deployment.
inline const char* const kZones =
    R"({"vantaa-a":"uusimaa","tampere-a":"pirkanmaa","rovaniemi-a":"lappi"})";

// Writes the settings with the bounds of the site porttivuoro.
inline Edge MakeEdge(const Store& store,
                     const std::string& folder,
                     int number,
                     const std::string& zone,
                     const std::string& region) {
  Edge edge;
  edge.name = "edge-" + zone + "-" + std::to_string(number);
  edge.zone = zone;
  edge.region = region;
  edge.ip = Ip(10 + number);
  // Ports are the same on all machines; the addresses are this run's own.
  edge.front = 8548;
  edge.ready = 8542;
  edge.directory = 8546;
  for (const int port : {8548, 8542, 8546, 9464, 7540, 7541}) {
    int bound = 0;
    close(Listen(edge.ip, port, bound));
  }
  edge.settings = folder + "/" + edge.name + ".json";
  edge.log = folder + "/" + edge.name + ".log";
  const std::string first = "7540";
  const std::string second = "7541";
  const auto at = [&](const std::string& port) {
    return "\"" + edge.ip + ":" + port + "\"";
  };
  FILE* file = fopen(edge.settings.c_str(), "w");
  fprintf(file,
          R"({"vm":"%s","failure_domain":"%s","region":"%s",
"failure_domains":%s,"cpu_share":0.2,"cpu_speed":1,"link_mbps":1000.0,
"memory_mb":260,"client_address":%s,"ready_address":%s,
"directory_address":%s,"metrics_address":%s,"exchange_address":%s,
"feed_address":%s,"quota_address":%s,"peer_address":%s,
"store_address":"%s:%d","shortest_lease_s":1,"longest_ttl_s":5,
"stop_grace_s":6,"config_apply_s":2.5,"drain_s":2.5,"retry_ratio":0.2,
"retry_extra":64,"retry_window_s":10,"cold_factor":1.5,"cold_slack":5,
"most_shift":0.15}
)",
          edge.name.c_str(), zone.c_str(), region.c_str(), kZones,
          at(std::to_string(edge.front)).c_str(),
          at(std::to_string(edge.ready)).c_str(),
          at(std::to_string(edge.directory)).c_str(),
          at("9464").c_str(), at(first).c_str(),
          at(second).c_str(), at(second).c_str(), at(first).c_str(),
          store.ip.c_str(), store.port);
  fclose(file);
  return edge;
}

inline void StartEdge(Edge& edge, const std::string& program) {
  edge.pid = Spawn({program, "edge"}, edge.settings, edge.log);
  Record("started %s, front %s:%d", edge.name.c_str(), edge.ip.c_str(),
         edge.front);
}

inline bool IsReady(const Edge& edge) {
  const int fd = Connect(edge.ip, edge.ready);
  if (fd < 0) {
    return false;
  }
  SendAll(fd, "GET /sorrelplank/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  Reader reader(fd);
  const Message answer = reader.Read(1000);
  close(fd);
  return answer.complete && answer.Status() == 200;
}

inline void WaitReady(const Edge& edge) {
  for (int i = 0; i < 400; ++i) {
    if (IsReady(edge)) {
      return;
    }
    SleepMs(25);
  }
  CannotRun(edge.name + " does not become ready");
}

inline std::string Request(const std::string& method,
                           const std::string& path,
                           const std::string& host,
                           const std::string& id,
                           int deadline_ms,
                           int work_ms,
                           const std::string& more = "",
                           const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host +
         "\r\nSorrelplank-Request-Id: " + id +
         "\r\nSorrelplank-Affinity-Key: " + id +
         "\r\nSorrelplank-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nx-work-ms: " + std::to_string(work_ms) + "\r\n" + more +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

inline bool Trouble() {
  const char* const value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Arguments of each driver: target folder, temporary folder, record file.
struct Setup {
  std::string target;
  std::string folder;
  std::string edge;
  std::string platform;
};
inline Setup Begin(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: driver TARGET FOLDER RECORD\n");
    _exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  Setup setup{argv[1], argv[2], std::string(argv[1]) + "/sorrelplank",
              std::string(argv[1]) + "/standin_platform"};
  g_record = fopen(argv[3], "w");
  if (g_record == nullptr) {
    _exit(2);
  }
  Record("disruption: %s", Trouble() ? "yes" : "no (TROUBLE=0)");
  return setup;
}

}  // namespace kit
