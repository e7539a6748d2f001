/// @file answer_fields.cc Names seen for the first time.

#include "proxy/answer_fields.h"

namespace sorrelplank {

std::vector<std::string> AnswerFields::TakeNew(const HttpHeaders& headers) {
  std::vector<std::string> fresh;
  for (const auto& [name, value] : headers) {
    if (m_names.size() < kMostNames && m_names.insert(name).second) {
      fresh.push_back(name);
    }
  }
  return fresh;
}

}  // namespace sorrelplank
