/// @file seen_response_fields.cc Recording of response field names.

#include "proxy/seen_response_fields.h"

namespace sorrelplank {

std::vector<std::string> SeenResponseFields::RecordNewNames(
    const HttpHeaders& headers) {
  std::vector<std::string> new_names;
  for (const auto& [name, value] : headers) {
    if (m_names.size() < kMaxNames && m_names.insert(name).second) {
      new_names.push_back(name);
    }
  }
  return new_names;
}

}  // namespace sorrelplank
