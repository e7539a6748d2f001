/// @file proxy_metrics.h Counters and histograms of the routed path.

#ifndef SORRELPLANK_PROXY_PROXY_METRICS_H_
#define SORRELPLANK_PROXY_PROXY_METRICS_H_

#include <map>
#include <memory>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

/// Gauges that are read when the metrics are asked for.
struct ProxyGauges {
  /// Datagrams from and to other VMs.
  struct Datagrams {
    double m_received = 0;
    double m_malformed = 0;
    double m_unsent = 0;
  };

  double m_running = 0;
  double m_waiting = 0;
  double m_servers = 0;
  double m_table_version = 0;
  double m_store_age_s = 0;
  double m_connections_opened = 0;
  double m_log_lines_dropped = 0;
  /// Calls to the store, by kind.
  std::map<std::string, double> m_store_calls;
  /// 1 while this VM watches the store itself, 0 while it asks a relay.
  double m_watches_store = 0;
  /// Other VMs that wait here for changes of the store.
  double m_feed_followers = 0;
  /// Requests that servers ended under, those of them that are held back, and
  /// what of that the store has yet to be told.
  double m_suspected_requests = 0;
  double m_held_requests = 0;
  double m_crash_notes_waiting = 0;
  /// Requests held for a token of their organisation's quota, and
  /// organisations whose quota this VM keeps.
  double m_awaiting_tokens = 0;
  double m_quotas_kept = 0;
  /// Servers that name a limit on their requests, that want none for a while,
  /// requests held for a token of a limit, and limits whose tokens this VM
  /// grants.
  double m_limited_servers = 0;
  double m_paused_servers = 0;
  double m_awaiting_server_tokens = 0;
  double m_limits_kept = 0;
  Datagrams m_load_messages;
  Datagrams m_quota_messages;
};

/// What is counted, by prometheus-cpp.
class ProxyMetrics {
 public:
  explicit ProxyMetrics(const std::string& vm);
  ~ProxyMetrics();

  /// A request was answered; outcome: "forwarded" or a refusal's name.
  void CountAnswer(const std::string& outcome, Duration time);
  /// A request was sent to a backend server of the region.
  void CountSend(const std::string& service, const std::string& region);
  /// A send ended.
  void CountAttempt(const char* end, Duration time);

  /// The text that is served.
  std::string ToText(const ProxyGauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PROXY_METRICS_H_
