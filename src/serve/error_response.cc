/// @file error_response.cc Makes error responses.

#include <nlohmann/json.hpp>

#include "serve/error_response_func.h"

namespace sorrelplank {

HttpResponse MakeError(int status,
                       const std::string& error,
                       const std::string& help) {
  nlohmann::json body = {{"error", error}};
  if (!help.empty()) {
    body["help"] = help;
  }
  HttpResponse response;
  response.m_status = status;
  response.m_body = body.dump();
  return response;
}

}  // namespace sorrelplank
