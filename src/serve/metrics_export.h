/// @file metrics_export.h Metrics in the Prometheus text format.

#ifndef SORRELPLANK_SERVE_METRICS_EXPORT_H_
#define SORRELPLANK_SERVE_METRICS_EXPORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

class Node;
struct NodeCounters;

/// Exports the core's counters and the process's own counters and histograms.
class MetricsExport {
 public:
  explicit MetricsExport(const std::string& vm);
  ~MetricsExport();

  /// Counts the response to a caller's request.
  void CountResponse(const std::string& service,
                     const char* verdict,
                     Duration took);
  /// Counts a malformed message from a caller, a peer, the platform or a
  /// backend server.
  void CountMalformed(const std::string& from);
  void CountLookup();

  /// Returns all metrics as served on the operator port.
  std::string Text(Node& node,
                   uint64_t platform_calls,
                   uint64_t control_bytes,
                   TimePoint now);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_METRICS_EXPORT_H_
