/// @file decision_log.cc Formatting and non-blocking output of log lines.

#include "proxy/decision_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/shorten_text_func.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Holds some seconds of lines under overload; small compared with the memory
/// of the process.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
/// Longer texts, which other programs wrote, are shortened.
constexpr size_t kMaxFieldBytes = 1024;

/// Appends the JSON text of a value.
struct AppendValue {
  std::string& m_out;

  void operator()(const std::string& text) const {
    m_out +=
        nlohmann::json(ShortenText(text, kMaxFieldBytes))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  void operator()(int64_t number) const {
    fmt::format_to(std::back_inserter(m_out), "{}", number);
  }
  void operator()(double number) const {
    fmt::format_to(std::back_inserter(m_out), "{:.2f}", number);
  }
};

}  // namespace

DecisionLog::DecisionLog(std::string vm, int descriptor)
    : m_vm(std::move(vm)), m_descriptor(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void DecisionLog::Write(const char* event,
                        std::initializer_list<LogField> fields) {
  if (m_pending.size() > kMaxPendingBytes) {
    ++m_dropped;
    return;
  }
  fmt::format_to(std::back_inserter(m_pending),
                 R"({{"time_us":{},"vm":"{}","event":"{}")", WallNow().count(),
                 m_vm, event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(m_pending), R"(,"{}":)", field.m_name);
    std::visit(AppendValue{m_pending}, field.m_value);
  }
  m_pending += "}\n";
}

void DecisionLog::Flush() {
  if (m_dropped != m_reported_dropped &&
      m_pending.size() < kMaxPendingBytes / 2) {
    const auto dropped = static_cast<int64_t>(m_dropped - m_reported_dropped);
    m_reported_dropped = m_dropped;
    Write("log_lines_dropped", {{"count", dropped}});
  }
  if (m_pending.empty()) {
    return;
  }
  const ssize_t written =
      write(m_descriptor, m_pending.data(), m_pending.size());
  if (written > 0) {
    m_pending.erase(0, static_cast<size_t>(written));
  }
}

int64_t LogMs(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace sorrelplank
