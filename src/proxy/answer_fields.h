/// @file answer_fields.h Which header fields backend servers answer with.

#ifndef SORRELPLANK_PROXY_ANSWER_FIELDS_H_
#define SORRELPLANK_PROXY_ANSWER_FIELDS_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "net/http_message_type.h"

namespace sorrelplank {

/// Names of fields seen so far, for logs: a field that this program does not
/// read shows there once, instead of nowhere.
class AnswerFields {
 public:
  /// Names that no answer had before.
  std::vector<std::string> TakeNew(const HttpHeaders& headers);

 private:
  /// Servers may make up names without end.
  static constexpr size_t kMostNames = 64;

  std::set<std::string> m_names;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_ANSWER_FIELDS_H_
