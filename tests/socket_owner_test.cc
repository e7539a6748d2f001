/// @file socket_owner_test.cc Finding the process of a loopback connection.

#include <criterion/criterion.h>
#include <unistd.h>

#include "soak/socket_owner_func.h"

namespace sorrelplank::soak {
namespace {

Test(SocketOwner, ConnectionOfThisProcess_IsFound_OfItsParent_IsNot) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket caller(io);
  caller.connect(acceptor.local_endpoint());
  cr_assert(
      OwnsSocket(getpid(), caller.local_endpoint(), caller.remote_endpoint()));
  cr_assert(!OwnsSocket(getppid(), caller.local_endpoint(),
                        caller.remote_endpoint()));
}

}  // namespace
}  // namespace sorrelplank::soak
