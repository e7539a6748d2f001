// Helpers for the scripts of the review: processes, a blocking HTTP client, a
// threaded HTTP server for stand-in upstreams, and the small deployment that
// the cases run against. POSIX only; no library besides the standard one.

#ifndef REVIEW_KIT_KIT_H_
#define REVIEW_KIT_KIT_H_

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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Time-stamped lines in record.txt.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")), m_start(Clock::now()) {
    if (m_file == nullptr) {
      std::perror(path.c_str());
      std::exit(kCouldNotRun);
    }
  }
  double Now() const {
    return std::chrono::duration<double>(Clock::now() - m_start).count();
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::fprintf(m_file, "%8.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

 private:
  std::FILE* m_file;
  Clock::time_point m_start;
  std::mutex m_mutex;
};

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

// Loopback addresses of this run only, so that runs do not disturb each other.
inline std::string Ip(int last) {
  const int pid = getpid();
  return "127." + std::to_string(40 + pid / 250 % 200) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(last);
}

// A port that is free on the address now.
inline Address FreeAddress(const std::string& ip) {
  Address address{ip, 0};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in raw = ToSockaddr(address);
  socklen_t length = sizeof(raw);
  if (bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &length) != 0) {
    std::perror("free port");
    std::exit(kCouldNotRun);
  }
  close(fd);
  address.port = ntohs(raw.sin_port);
  return address;
}

// --- HTTP --------------------------------------------------------------------

struct Message {
  // A request's method and target, or a response's status.
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads messages with a length, or without a body.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // Whether more bytes arrived before the time was over.
  bool Fill(int timeout_ms) {
    pollfd one{m_fd, POLLIN, 0};
    if (poll(&one, 1, timeout_ms) <= 0) {
      m_end = "no bytes in time";
      return false;
    }
    char buffer[16384];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      m_end = count == 0 ? "closed" : std::string("error: ") + strerror(errno);
      return false;
    }
    m_bytes.append(buffer, static_cast<size_t>(count));
    return true;
  }

  std::optional<Message> Next(int timeout_ms) {
    const auto until =
        Clock::now() + std::chrono::milliseconds(timeout_ms);
    while (true) {
      auto message = Parse();
      if (message) {
        return message;
      }
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          until - Clock::now());
      if (left.count() <= 0) {
        m_end = "no bytes in time";
        return std::nullopt;
      }
      if (!Fill(static_cast<int>(left.count()))) {
        return std::nullopt;
      }
    }
  }

  // Why Next() returned nothing.
  const std::string& End() const { return m_end; }

 private:
  std::optional<Message> Parse() {
    const size_t head_end = m_bytes.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return std::nullopt;
    }
    Message message;
    size_t at = 0;
    bool is_first = true;
    while (at < head_end) {
      const size_t line_end = std::min(m_bytes.find("\r\n", at), head_end);
      const std::string line = m_bytes.substr(at, line_end - at);
      at = line_end + 2;
      if (is_first) {
        is_first = false;
        const size_t one = line.find(' ');
        const size_t two = line.find(' ', one + 1);
        if (line.starts_with("HTTP/")) {
          message.status = std::atoi(line.c_str() + one + 1);
        } else {
          message.method = line.substr(0, one);
          message.target = line.substr(one + 1, two - one - 1);
        }
        continue;
      }
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
    const size_t length =
        static_cast<size_t>(std::atoll(message.Header("content-length").c_str()));
    if (m_bytes.size() < head_end + 4 + length) {
      return std::nullopt;
    }
    message.body = m_bytes.substr(head_end + 4, length);
    m_bytes.erase(0, head_end + 4 + length);
    return message;
  }

  int m_fd;
  std::string m_bytes;
  std::string m_end;
};

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    at += static_cast<size_t>(count);
  }
  return true;
}

// A client's connection.
class Connection {
 public:
  explicit Connection(const Address& to, int timeout_ms = 1000) {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
    setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in raw = ToSockaddr(to);
    m_is_open =
        connect(m_fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) ==
        0;
    m_reader = std::make_unique<Reader>(m_fd);
  }
  ~Connection() { close(m_fd); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool IsOpen() const { return m_is_open; }
  bool Send(const std::string& bytes) { return SendAll(m_fd, bytes); }
  std::optional<Message> Next(int timeout_ms) {
    return m_reader->Next(timeout_ms);
  }
  const std::string& End() const { return m_reader->End(); }

 private:
  int m_fd = -1;
  bool m_is_open = false;
  std::unique_ptr<Reader> m_reader;
};

inline std::optional<Message> Fetch(const Address& to,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body,
                                    int timeout_ms = 1000) {
  Connection connection(to, timeout_ms);
  if (!connection.IsOpen() ||
      !connection.Send(method + " " + target + " HTTP/1.1\r\nHost: " +
                       to.Text() + "\r\nContent-Type: application/json\r\n" +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\nConnection: close\r\n\r\n" + body)) {
    return std::nullopt;
  }
  return connection.Next(timeout_ms);
}

// A listening socket whose connections each get a thread.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  Server(Address address, Serve serve)
      : m_address(std::move(address)), m_serve(std::move(serve)) {}
  ~Server() { Stop(); }

  bool Start() {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in raw = ToSockaddr(m_address);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
            0 ||
        listen(m_fd, 512) != 0) {
      std::perror(m_address.Text().c_str());
      close(m_fd);
      m_fd = -1;
      return false;
    }
    m_is_running = true;
    m_thread = std::thread([this] { Accept(); });
    return true;
  }

  // Closes the listener and resets all connections.
  void Stop() {
    if (!m_is_running.exchange(false)) {
      return;
    }
    m_thread.join();
    close(m_fd);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const int fd : m_open) {
        linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(fd, SHUT_RDWR);
      }
    }
    while (m_threads > 0) {
      SleepMs(2);
    }
  }

  const Address& Where() const { return m_address; }

 private:
  void Accept() {
    while (m_is_running) {
      pollfd one{m_fd, POLLIN, 0};
      if (poll(&one, 1, 20) <= 0) {
        continue;
      }
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open.push_back(fd);
      }
      ++m_threads;
      std::thread([this, fd] {
        m_serve(fd);
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          std::erase(m_open, fd);
        }
        close(fd);
        --m_threads;
      }).detach();
    }
  }

  Address m_address;
  Serve m_serve;
  int m_fd = -1;
  std::atomic<bool> m_is_running{false};
  std::thread m_thread;
  std::atomic<int> m_threads{0};
  std::mutex m_mutex;
  std::vector<int> m_open;
};

// Whether the peer has closed the connection; waits for at most `ms`.
inline bool IsClosedWithin(int fd, int ms) {
  pollfd one{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&one, 1, ms) <= 0) {
    return false;
  }
  if ((one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    return true;
  }
  SleepMs(ms);
  return false;
}

// --- Processes ---------------------------------------------------------------

class Process {
 public:
  Process(std::vector<std::string> command,
          std::vector<std::string> environment,
          std::string log)
      : m_command(std::move(command)),
        m_environment(std::move(environment)),
        m_log(std::move(log)) {}
  ~Process() { Kill(); }
  Process(const Process&) = delete;

  void Start() {
    m_pid = fork();
    if (m_pid != 0) {
      return;
    }
    // The process ends with the program of the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    close_range(3, ~0U, 0);
    std::vector<char*> arguments;
    for (std::string& word : m_command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    for (std::string& variable : m_environment) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  void Signal(int signal) const {
    if (m_pid > 0) {
      kill(m_pid, signal);
    }
  }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      kill(m_pid, SIGCONT);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  // The status of a process that has ended by itself, else nothing.
  std::optional<int> Ended() {
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
      return std::nullopt;
    }
    m_pid = -1;
    return status;
  }
  bool IsRunning() const { return m_pid > 0; }
  pid_t Pid() const { return m_pid; }

 private:
  std::vector<std::string> m_command;
  std::vector<std::string> m_environment;
  std::string m_log;
  pid_t m_pid = -1;
};

inline std::string DescribeStatus(int status) {
  return WIFSIGNALED(status)
             ? std::string("signal ") + strsignal(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
}

// A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string name =
        std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
      std::perror("mkdtemp");
      std::exit(kCouldNotRun);
    }
    m_path = name;
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(m_path);
    }
  }
  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

// --- The platform's store ----------------------------------------------------

inline std::string Base64(const std::string& text) {
  static const char* letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < text.size(); at += 3) {
    uint32_t bits = 0;
    for (size_t one = 0; one < 3; ++one) {
      bits = bits << 8U |
             (at + one < text.size() ? static_cast<uint8_t>(text[at + one])
                                     : 0U);
    }
    for (size_t one = 0; one < 4; ++one) {
      out += at + one <= text.size() ? letters[bits >> (18 - 6 * one) & 63U]
                                     : '=';
    }
  }
  return out;
}

// Writes as the operator and the upstreams do, without a condition.
class StoreWriter {
 public:
  explicit StoreWriter(Address address) : m_address(std::move(address)) {}
  bool Put(const std::string& key, const std::string& value) const {
    return Write(R"({"Expect":[],"Put":[{"Key":")" + key + R"(","Value":")" +
                 Base64(value) + R"(","Lease":0}],"Remove":[]})");
  }
  bool Remove(const std::string& key) const {
    return Write(R"({"Expect":[],"Put":[],"Remove":[")" + key + R"("]})");
  }

 private:
  bool Write(const std::string& body) const {
    const auto answer =
        Fetch(m_address, "POST", "/sorrelplank/kv-txn", body, 2000);
    return answer && answer->status == 200;
  }
  Address m_address;
};

// An upstream's entry, as PROTOCOL.md has it.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  int slots = 8;
  std::string state = "ready";
  int sequence = 1;
  std::string Text() const {
    return R"({"Service":")" + service + R"(","Address":")" + address.Text() +
           R"(","Zone":")" + zone + R"(","Version":"v1","Slots":)" +
           std::to_string(slots) + R"(,"State":")" + state +
           R"(","ColdLeftS":0,"Sequence":)" + std::to_string(sequence) + "}";
  }
};

struct Zone {
  const char* name;
  const char* region;
};

// --- An entry VM -------------------------------------------------------------

struct VmSettings {
  std::string name;
  Zone zone;
  std::vector<Zone> zones;
  std::string ip;
  Address store;
  // Bounds of the small sites.
  double grace_s = 6;
  std::string extra;  // more fields, each with a comma before it
};

class Vm {
 public:
  // Ports are the same on all machines of a deployment.
  struct Ports {
    uint16_t front, ready, directory, metrics, internal_0, internal_1;
  };

  Vm(VmSettings settings, Ports ports, const std::string& folder)
      : m_settings(std::move(settings)),
        m_ports(ports),
        m_file(folder + "/" + m_settings.name + ".json"),
        m_log(folder + "/" + m_settings.name + ".log"),
        m_process({Program(), "edge"},
                  {"SORRELPLANK_CONFIG=" + m_file, "PATH=/usr/bin:/bin",
                   "HOME=/tmp", "LANG=C.UTF-8"},
                  m_log) {
    WriteSettings();
  }

  static std::string Program() {
    const char* root = std::getenv("ROOT");
    return std::string(root == nullptr ? "." : root) + "/target/sorrelplank";
  }

  Address Front() const { return {m_settings.ip, m_ports.front}; }
  Address Readiness() const { return {m_settings.ip, m_ports.ready}; }
  const std::string& Name() const { return m_settings.name; }
  const std::string& Log() const { return m_log; }
  Process& Child() { return m_process; }

  bool IsReady() const {
    const auto answer =
        Fetch(Readiness(), "GET", "/sorrelplank/ready", "", 500);
    return answer && answer->status == 200;
  }
  bool WaitUntilReady(int seconds) const {
    for (int one = 0; one < seconds * 20; ++one) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

 private:
  void WriteSettings() const {
    std::string zones;
    for (const Zone& zone : m_settings.zones) {
      zones += std::string(zones.empty() ? "" : ",") + "\"" + zone.name +
               "\":\"" + zone.region + "\"";
    }
    const auto at = [this](uint16_t port) {
      return "\"" + m_settings.ip + ":" + std::to_string(port) + "\"";
    };
    std::ofstream(m_file)
        << "{\"vm\":\"" << m_settings.name << "\",\"failure_domain\":\""
        << m_settings.zone.name << "\",\"region\":\"" << m_settings.zone.region
        << "\",\"failure_domains\":{" << zones << "},\"cpu_share\":0.2,"
        << "\"cpu_speed\":1,\"link_mbps\":1000.0,\"memory_mb\":260,"
        << "\"client_address\":" << at(m_ports.front)
        << ",\"ready_address\":" << at(m_ports.ready)
        << ",\"directory_address\":" << at(m_ports.directory)
        << ",\"metrics_address\":" << at(m_ports.metrics)
        << ",\"exchange_address\":" << at(m_ports.internal_0)
        << ",\"feed_address\":" << at(m_ports.internal_1)
        << ",\"quota_address\":" << at(m_ports.internal_1)
        << ",\"peer_address\":" << at(m_ports.internal_0)
        << ",\"store_address\":\"" << m_settings.store.Text()
        << "\",\"shortest_lease_s\":1,\"longest_ttl_s\":5,\"stop_grace_s\":"
        << m_settings.grace_s
        << ",\"config_apply_s\":2.5,\"drain_s\":2.5,\"retry_ratio\":0.2,"
        << "\"retry_extra\":56,\"retry_window_s\":10,\"cold_factor\":1.5,"
        << "\"cold_slack\":5,\"most_shift\":0.15" << m_settings.extra << "}";
  }

  VmSettings m_settings;
  Ports m_ports;
  std::string m_file;
  std::string m_log;
  Process m_process;
};

inline Vm::Ports FreePorts(const std::string& ip) {
  return {FreeAddress(ip).port, FreeAddress(ip).port, FreeAddress(ip).port,
          FreeAddress(ip).port, FreeAddress(ip).port, FreeAddress(ip).port};
}

// The project's stand-in of the store, as a process.
class StoreProcess {
 public:
  explicit StoreProcess(const std::string& folder)
      : m_address(FreeAddress(Ip(1))),
        m_process({Program(), m_address.ip, std::to_string(m_address.port)},
                  {"PATH=/usr/bin:/bin"}, folder + "/store.log") {}
  static std::string Program() {
    const char* root = std::getenv("ROOT");
    return std::string(root == nullptr ? "." : root) +
           "/target/standin_platform";
  }
  bool Start() {
    m_process.Start();
    for (int one = 0; one < 100; ++one) {
      if (Connection(m_address).IsOpen()) {
        return true;
      }
      SleepMs(20);
    }
    return false;
  }
  const Address& Where() const { return m_address; }
  Process& Child() { return m_process; }

 private:
  Address m_address;
  Process m_process;
};

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace kit

#endif  // REVIEW_KIT_KIT_H_
