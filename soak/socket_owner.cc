/// @file socket_owner.cc Looks up sockets by the kernel's socket diagnostics.

#include <fmt/format.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <string>

#include "soak/socket_owner_func.h"

namespace sorrelplank::soak {

namespace {

namespace fs = std::filesystem;

/// Request for one socket. A search through /proc/net/tcp takes 10 ms with the
/// thousands of closed connections of a run.
struct Query {
  nlmsghdr m_header;
  inet_diag_req_v2 m_request;
};

Query MakeQuery(const asio::ip::tcp::endpoint& local,
                const asio::ip::tcp::endpoint& remote) {
  Query query{};
  query.m_header.nlmsg_len = sizeof(query);
  query.m_header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.m_header.nlmsg_flags = NLM_F_REQUEST;
  inet_diag_req_v2& request = query.m_request;
  request.sdiag_family = AF_INET;
  request.sdiag_protocol = IPPROTO_TCP;
  request.idiag_states = ~0U;
  request.id.idiag_sport = htons(local.port());
  request.id.idiag_dport = htons(remote.port());
  request.id.idiag_src[0] = htonl(local.address().to_v4().to_uint());
  request.id.idiag_dst[0] = htonl(remote.address().to_v4().to_uint());
  request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return query;
}

/// Inode of the socket; 0 if there is none.
uint32_t SocketInode(const asio::ip::tcp::endpoint& local,
                     const asio::ip::tcp::endpoint& remote) {
  const int diagnostics = socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
  if (diagnostics < 0) {
    return 0;
  }
  const Query query = MakeQuery(local, remote);
  std::array<char, 4096> reply{};
  const bool is_sent =
      send(diagnostics, &query, sizeof(query), 0) == sizeof(query);
  const ssize_t bytes =
      is_sent ? recv(diagnostics, reply.data(), reply.size(), 0) : -1;
  close(diagnostics);
  nlmsghdr header{};
  inet_diag_msg message{};
  if (bytes < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(message))) {
    return 0;
  }
  std::memcpy(&header, reply.data(), sizeof(header));
  std::memcpy(&message, reply.data() + NLMSG_HDRLEN, sizeof(message));
  return header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? message.idiag_inode : 0;
}

}  // namespace

bool OwnsSocket(pid_t pid,
                const asio::ip::tcp::endpoint& local,
                const asio::ip::tcp::endpoint& remote) {
  const uint32_t inode = SocketInode(local, remote);
  if (inode == 0) {
    return false;
  }
  const std::string name = fmt::format("socket:[{}]", inode);
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
