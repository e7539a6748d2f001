/// @file call_parse.cc Parses callers' requests and header fields.

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "core/vm_record_type.h"
#include "serve/call_headers_type.h"
#include "serve/call_parse_func.h"

namespace sorrelplank {

namespace {

constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr size_t kMaxKeyBytes = 128;
constexpr size_t kMaxTriedVms = 16;
constexpr int64_t kMaxDeadlineMs = 600000;

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(text.data(), last, number);
  return result.ec == std::errc() && result.ptr == last;
}

bool IsValidKey(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < 127; });
}

/// Returns path and query of the request to the backend server.
std::string BackendPath(const HttpRequest& request, size_t service_end) {
  std::string path = request.m_path.substr(service_end);
  if (path.empty()) {
    path = "/";
  }
  return request.m_raw_query.empty() ? path : path + "?" + request.m_raw_query;
}

}  // namespace

std::variant<ParsedCall, MalformedCall> ParseCall(const HttpRequest& request) {
  ParsedCall parsed;
  IncomingCall& call = parsed.m_call;
  const size_t start = kCallPrefix.size();
  const size_t end =
      std::min(request.m_path.find('/', start), request.m_path.size());
  parsed.m_service_name = request.m_path.substr(start, end - start);
  if (parsed.m_service_name.empty()) {
    return MalformedCall{"the path names no service"};
  }
  call.m_service = HashName(parsed.m_service_name);
  call.m_caller_ip = request.m_remote_ip;
  if (const auto client = request.Header(kClientHeader)) {
    call.m_caller_ip = ParseIp(*client);
    if (call.m_caller_ip == 0) {
      return MalformedCall{std::string(kClientHeader) + " is no IPv4 address"};
    }
  }
  if (const auto text = request.Header(kDeadlineHeader)) {
    int64_t ms = 0;
    if (!ParseNumber(*text, ms) || ms < 1 || ms > kMaxDeadlineMs) {
      return MalformedCall{std::string(kDeadlineHeader) +
                           " is no number from 1 to 600000"};
    }
    call.m_time_left = milliseconds(ms);
  }
  parsed.m_backend_path = BackendPath(request, end);
  call.m_body_size = request.m_body.size();
  if (const auto key = request.Header(kKeyHeader)) {
    if (!IsValidKey(*key)) {
      return MalformedCall{std::string(kKeyHeader) +
                           " is not 1 to 128 visible characters"};
    }
    parsed.m_key = *key;
    call.m_key = HashKey(parsed.m_service_name, *key, request.m_method,
                         parsed.m_backend_path, request.m_body);
  }
  if (const auto tried = request.Header(kTriedHeader)) {
    if (!ParseTried(*tried, call.m_tried)) {
      return MalformedCall{std::string(kTriedHeader) +
                           " is neither none nor NAME@NUMBER,..."};
    }
  }
  return parsed;
}

bool ParseTried(const std::string& text, Tried& tried) {
  if (text == "none") {
    tried = TriedNone{};
    return true;
  }
  TriedList list;
  std::stringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const size_t at = item.rfind('@');
    uint64_t incarnation = 0;
    const bool is_valid =
        at != std::string::npos && at > 0 &&
        ParseNumber(std::string_view(item).substr(at + 1), incarnation);
    if (!is_valid || list.size() == kMaxTriedVms) {
      return false;
    }
    list.push_back({item.substr(0, at), Incarnation(incarnation)});
  }
  if (list.empty()) {
    return false;
  }
  tried = std::move(list);
  return true;
}

std::string FormatVmId(const VmName& name, Incarnation incarnation) {
  return name + "@" + std::to_string(incarnation.Get());
}

KeyHash HashKey(const std::string& service,
                const std::string& key,
                const std::string& method,
                const std::string& path,
                const std::string& body) {
  // The length before each part keeps the concatenation unambiguous, so that
  // different requests never give the same input to the hash.
  std::string all;
  for (const std::string* part : {&service, &key, &method, &path, &body}) {
    all += std::to_string(part->size()) + ":" + *part;
  }
  const uint64_t hash = XXH3_64bits(all.data(), all.size());
  return KeyHash(hash == 0 ? 1 : hash);
}

}  // namespace sorrelplank
