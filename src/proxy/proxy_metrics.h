/// @file proxy_metrics.h Prometheus metrics of request routing.

#ifndef SORRELPLANK_PROXY_PROXY_METRICS_H_
#define SORRELPLANK_PROXY_PROXY_METRICS_H_

#include <map>
#include <memory>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

/// Gauge values, sampled for each scrape.
struct ProxyGauges {
  /// Counts of datagrams exchanged with other VMs.
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
  /// Accepted connections that were closed so that others can be kept.
  double m_connections_closed_for_others = 0;
  double m_log_lines_dropped = 0;
  /// Bytes held for open requests and unwritten responses, and their bound; a
  /// bound of zero means none.
  double m_body_bytes = 0;
  double m_body_bytes_bound = 0;
  /// Total calls to the store, by kind.
  std::map<std::string, double> m_store_calls;
  /// 1 while this VM watches the store directly, 0 while it uses a relay.
  double m_watches_store = 0;
  /// Other VMs that wait for changes of the store at this one.
  double m_feed_followers = 0;
  /// Requests suspected of crashing servers, those of them that are held back,
  /// and crash records not yet written to the store.
  double m_suspected_requests = 0;
  double m_held_requests = 0;
  double m_crash_notes_waiting = 0;
  /// Requests that wait for a token of their organisation's quota, and quotas
  /// for which this VM grants tokens.
  double m_awaiting_tokens = 0;
  double m_quotas_kept = 0;
  /// Servers with a rate limit of their own, servers that asked for a pause,
  /// requests that wait for a token of a server's limit, and server limits for
  /// which this VM grants tokens.
  double m_limited_servers = 0;
  double m_paused_servers = 0;
  double m_awaiting_server_tokens = 0;
  double m_limits_kept = 0;
  /// 1 while this VM reaches no backend server.
  double m_servers_out_of_reach = 0;
  Datagrams m_load_messages;
  Datagrams m_quota_messages;
};

/// Metrics of the routing process, collected with prometheus-cpp.
class ProxyMetrics {
 public:
  explicit ProxyMetrics(const std::string& vm);
  ~ProxyMetrics();

  /// Records the response to a client. The outcome is "forwarded", "malformed",
  /// "client_left" or the name of a refusal.
  void CountResponse(const std::string& outcome, Duration time);
  /// Counts the response to a request that was rejected before; the outcome is
  /// as in CountResponse().
  void CountReturning(const std::string& outcome);
  /// Counts a request sent to a backend server of the region.
  void CountSend(const std::string& service, const std::string& region);
  /// Counts a request sent to another server than the first of its object.
  void CountSecondChoice(const std::string& service);
  /// Counts an event of a hedge: "sent", or "answered_first" if its response
  /// came before that of the first attempt.
  void CountHedge(const char* event);
  /// Counts the end of a request that was passed on to another entry VM:
  /// "answered", "not_sent", "lost", or the name of that VM's refusal.
  void CountPeerSend(const char* end);
  /// Records the end of one send and its duration.
  void CountAttempt(const char* end, Duration time);

  /// Returns all metrics in the Prometheus text format.
  std::string ToText(const ProxyGauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PROXY_METRICS_H_
