/// @file blocking_http.h A blocking HTTP client for the command line.

#ifndef SORRELPLANK_CLI_BLOCKING_HTTP_H_
#define SORRELPLANK_CLI_BLOCKING_HTTP_H_

#include <memory>
#include <string>
#include <vector>

#include "config/publish_func.h"
#include "core/vm_record_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

/// Runs one fetch at a time and waits for it, since the command line has
/// nothing else to do meanwhile.
class BlockingHttp {
 public:
  BlockingHttp();
  ~BlockingHttp();

  HttpResult Fetch(const HttpFetch& fetch);
  /// Sends a GET request for a path to an address.
  HttpResult Get(VmAddress address, const std::string& path);
  /// Blocking calls to the platform at some addresses.
  PlatformStore Platform(const std::vector<VmAddress>& addresses);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_BLOCKING_HTTP_H_
