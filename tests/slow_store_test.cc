/// @file slow_store_test.cc Responses of the store that take long to arrive.

#include <criterion/criterion.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "net/http_client.h"
#include "platform/store_client.h"

namespace sorrelplank::platform {
namespace {

constexpr size_t kParts = 8;
constexpr auto kPartInterval = milliseconds(250);
const std::string kBody = R"({"StoreRevision":7,"events":[]      })";

/// Sends one response in parts, to a watch that waits for 200 ms.
struct SlowStoreFixture {
  asio::io_context m_io{1};
  asio::ip::tcp::acceptor m_acceptor{m_io,
                                     {asio::ip::address_v4::loopback(), 0}};
  HttpClient m_http{m_io};
  StoreClient m_client{
      VmAddress{asio::ip::address_v4::loopback().to_uint(),
                m_acceptor.local_endpoint().port()},
      [this](HttpFetch fetch, std::function<void(HttpResult)> done) {
        m_http.Start(std::move(fetch), std::move(done));
      }};

  /// Watches while the store sends the first `parts` of its response, and then
  /// keeps the connection open until the watch has ended.
  StoreReadResult Watch(size_t parts) {
    std::optional<StoreReadResult> result;
    std::thread store([&] { Respond(parts); });
    m_client.Watch("", Revision(1), milliseconds(200),
                   [&](StoreReadResult read) { result = std::move(read); });
    while (!result) {
      m_io.run_one();
    }
    store.join();
    return *result;
  }

  void Respond(size_t parts) {
    asio::ip::tcp::socket socket = m_acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Type: "
                             "application/json\r\nContent-Length: " +
                             std::to_string(kBody.size()) + "\r\n\r\n"));
    const size_t length = kBody.size() / kParts + 1;
    // The watch may end before the response.
    std::error_code error;
    for (size_t part = 0; part < parts; ++part) {
      std::this_thread::sleep_for(kPartInterval);
      asio::write(socket,
                  asio::buffer(kBody.substr(
                      std::min(part * length, kBody.size()), length)),
                  error);
    }
    char byte = 0;
    socket.read_some(asio::buffer(&byte, 1), error);
  }
};

TestSuite(SlowStore, .timeout = 30);

// A VM that had missed much asked for it again and again: the response needed
// more time than a response may take in all.
Test(SlowStore, ResponseKeepsArriving_LongerThanACall_IsRead) {
  SlowStoreFixture fixture;
  const StoreReadResult read = fixture.Watch(kParts);
  cr_assert_eq(read.m_end, StoreOutcome::kDone);
  cr_assert_eq(read.m_revision.Get(), 7);
}

// Guards against a watch that waits for the rest for good.
Test(SlowStore, ResponseStops_HalfWay_EndsSoon) {
  constexpr auto kLatest = seconds(3);
  SlowStoreFixture fixture;
  const auto start = std::chrono::steady_clock::now();
  const StoreReadResult read = fixture.Watch(kParts / 2);
  cr_assert_neq(read.m_end, StoreOutcome::kDone);
  cr_assert_lt(std::chrono::steady_clock::now() - start, kLatest);
}

}  // namespace
}  // namespace sorrelplank::platform
