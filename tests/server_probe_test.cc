/// @file server_probe_test.cc Probing whether a server that lost a
/// response still listens.

#include "proxy/server_probe.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>

#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

ServerReach ReachAt(asio::io_context& io, uint16_t port, Duration hold = {}) {
  std::optional<ServerReach> found;
  const auto probe = std::make_shared<ServerProbe>(
      io, [&found](ServerReach reach) { found = reach; });
  probe->Start({asio::ip::address_v4::loopback().to_uint(), port}, seconds(10),
               hold);
  while (!found) {
    cr_assert_gt(io.run_one(), 0, "the probe did not call its handler");
  }
  return *found;
}

Test(ServerProbe, ServerListens_Reach_Opens) {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  cr_assert_eq(ReachAt(io, acceptor.local_endpoint().port()),
               ServerReach::kAcceptsConnections);
}

Test(ServerProbe, NothingListens_Reach_Refuses) {
  asio::io_context io;
  cr_assert_eq(ReachAt(io, FreePort()), ServerReach::kRefusesConnections);
}

// A device on the path accepts connections and resets them at once.
Test(ServerProbe, ConnectionIsReset_WithinHold_IsNotReached) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  acceptor.async_accept([](std::error_code, asio::ip::tcp::socket socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
  });
  cr_assert_eq(ReachAt(io, acceptor.local_endpoint().port(), seconds(10)),
               ServerReach::kUnknown);
}

Test(ServerProbe, ConnectionStaysOpen_ForHold_Opens) {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  cr_assert_eq(ReachAt(io, acceptor.local_endpoint().port(), milliseconds(20)),
               ServerReach::kAcceptsConnections);
}

}  // namespace
}  // namespace sorrelplank
