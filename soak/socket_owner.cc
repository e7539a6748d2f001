/// @file socket_owner.cc Looks up sockets in /proc.

#include <arpa/inet.h>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "soak/socket_owner_func.h"

namespace sorrelplank::soak {

namespace {

namespace fs = std::filesystem;

/// An endpoint as /proc/net/tcp writes it.
std::string ProcText(const asio::ip::tcp::endpoint& endpoint) {
  return fmt::format("{:08X}:{:04X}",
                     htonl(endpoint.address().to_v4().to_uint()),
                     endpoint.port());
}

/// Name that /proc gives the socket; empty if there is none.
std::string SocketName(const asio::ip::tcp::endpoint& local,
                       const asio::ip::tcp::endpoint& remote) {
  std::ifstream table("/proc/net/tcp");
  const std::string wanted = ProcText(local) + " " + ProcText(remote) + " ";
  for (std::string line; std::getline(table, line);) {
    if (line.find(wanted) == std::string::npos) {
      continue;
    }
    std::istringstream fields(line);
    std::string inode;
    constexpr int kInodeField = 10;
    for (int field = 0; field < kInodeField; ++field) {
      fields >> inode;
    }
    return "socket:[" + inode + "]";
  }
  return "";
}

}  // namespace

bool OwnsSocket(pid_t pid,
                const asio::ip::tcp::endpoint& local,
                const asio::ip::tcp::endpoint& remote) {
  const std::string name = SocketName(local, remote);
  if (name.empty()) {
    return false;
  }
  std::error_code error;
  for (fs::directory_iterator it(fmt::format("/proc/{}/fd", pid), error), end;
       !error && it != end; it.increment(error)) {
    std::error_code ignored;
    if (fs::read_symlink(it->path(), ignored) == name) {
      return true;
    }
  }
  return false;
}

}  // namespace sorrelplank::soak
