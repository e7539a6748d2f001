/// @file blocking_http.cc Blocking fetches on a private io_context.

#include "cli/blocking_http.h"

#include <asio.hpp>
#include <utility>

#include "net/http_client.h"
#include "platform/platform_client.h"

namespace sorrelplank {

class BlockingHttp::Impl {
 public:
  HttpResult Fetch(const HttpFetch& fetch) {
    std::optional<HttpResult> result;
    m_client.Start(fetch, [&](HttpResult got) { result = std::move(got); });
    m_io.restart();
    while (!result) {
      m_io.run_one();
    }
    return std::move(*result);
  }

  PlatformClient& Platform(const std::vector<VmAddress>& addresses) {
    m_platform = std::make_unique<PlatformClient>(
        addresses, [this](const HttpFetch& fetch,
                          const std::function<void(HttpResult)>& done) {
          done(Fetch(fetch));
        });
    return *m_platform;
  }

 private:
  asio::io_context m_io{1};
  HttpClient m_client{m_io};
  std::unique_ptr<PlatformClient> m_platform;
};

BlockingHttp::BlockingHttp() : m_impl(std::make_unique<Impl>()) {}

BlockingHttp::~BlockingHttp() = default;

HttpResult BlockingHttp::Fetch(const HttpFetch& fetch) {
  return m_impl->Fetch(fetch);
}

HttpResult BlockingHttp::Get(VmAddress address, const std::string& path) {
  HttpFetch fetch;
  fetch.m_url = "http://" + FormatIp(address.m_ip) + ":" +
                std::to_string(address.m_port) + path;
  fetch.m_timeout = seconds(3);
  return Fetch(fetch);
}

PlatformStore BlockingHttp::Platform(const std::vector<VmAddress>& addresses) {
  PlatformClient& client = m_impl->Platform(addresses);
  return {[&client](const std::string& key) {
            PlatformResult result;
            client.Get(key, [&](const PlatformResult& got) { result = got; });
            return result;
          },
          [&client](const std::string& key, const std::string& value,
                    const PutCondition& condition) {
            PlatformResult result;
            client.Put(key, value, condition,
                       [&](const PlatformResult& got) { result = got; });
            return result;
          }};
}

}  // namespace sorrelplank
