/// @file server_probe_test.cc Probing whether a server that lost a
/// response still listens.

#include "proxy/server_probe.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>

#include "tests/free_port_func.h"

namespace sorrelplank {
namespace {

ServerReach ReachAt(asio::io_context& io, uint16_t port) {
  std::optional<ServerReach> found;
  const auto probe = std::make_shared<ServerProbe>(
      io, [&found](ServerReach reach) { found = reach; });
  probe->Start({asio::ip::address_v4::loopback().to_uint(), port}, seconds(10));
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

}  // namespace
}  // namespace sorrelplank
