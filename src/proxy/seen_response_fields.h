/// @file seen_response_fields.h Header field names that backend servers send.

#ifndef SORRELPLANK_PROXY_SEEN_RESPONSE_FIELDS_H_
#define SORRELPLANK_PROXY_SEEN_RESPONSE_FIELDS_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "net/http_message_type.h"

namespace sorrelplank {

/// Set of the response header field names seen so far. Each new name is logged
/// once, so that fields which this program does not read are visible.
class SeenResponseFields {
 public:
  /// Records the names of a response's fields and returns those that no earlier
  /// response had.
  std::vector<std::string> RecordNewNames(const HttpHeaders& headers);

 private:
  /// Bounds the memory: a server may send any number of distinct names.
  static constexpr size_t kMaxNames = 64;

  std::set<std::string> m_names;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SEEN_RESPONSE_FIELDS_H_
