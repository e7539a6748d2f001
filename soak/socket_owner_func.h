/// @file socket_owner_func.h Which process holds the other end of a loopback
/// connection.

#ifndef SORRELPLANK_SOAK_SOCKET_OWNER_FUNC_H_
#define SORRELPLANK_SOAK_SOCKET_OWNER_FUNC_H_

#include <sys/types.h>

#include <asio.hpp>

namespace sorrelplank::soak {

/// Whether the process holds the socket that is bound to `local` and connected
/// to `remote`; false if its descriptors cannot be read. Source: the kernel's
/// socket diagnostics and /proc.
bool OwnsSocket(pid_t pid,
                const asio::ip::tcp::endpoint& local,
                const asio::ip::tcp::endpoint& remote);

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_SOCKET_OWNER_FUNC_H_
