/// @file store_standin.h In-memory stand-in for the platform's store.

#ifndef SORRELPLANK_STANDIN_STORE_STANDIN_H_
#define SORRELPLANK_STANDIN_STORE_STANDIN_H_

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace sorrelplank {

/// Implements the store's published protocol in memory: keys with revisions,
/// paged range reads, watches, transactions and leases. Injects faults on
/// request; see docs/INTERFACE.md.
class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& io);

  void Serve(const HttpRequest& request, const HttpReply& reply);

  /// Returns to the newest copy that is at least so old, if there is one. What
  /// was written since is lost, its revisions and leases are given out again,
  /// and the era rises.
  void RestoreCopy(std::chrono::milliseconds min_age);

  /// Write and remove keys directly, unaffected by injected faults.
  void PutText(const std::string& key, const std::string& value);
  void RemoveKey(const std::string& key);

 private:
  using Clock = std::chrono::steady_clock;
  using Json = nlohmann::json;

  /// The last write of a key, or its removal.
  struct Item {
    std::string m_key;
    /// Base64, as received.
    std::string m_value;
    uint64_t m_revision = 0;
    uint64_t m_created = 0;
    uint64_t m_lease = 0;
    bool m_removed = false;
  };

  /// A lease; its keys are removed when it expires.
  struct Lease {
    std::chrono::duration<double> m_lifetime{};
    Clock::time_point m_expires;
  };

  /// A long-polling watch request that waits for changes.
  struct Watcher {
    std::string m_prefix;
    uint64_t m_after_revision = 0;
    Clock::time_point m_expires;
    HttpReply m_reply;
  };

  /// State of the store at some moment.
  struct Copy {
    Clock::time_point m_taken;
    std::map<std::string, Item> m_items;
    uint64_t m_revision = 0;
    std::map<uint64_t, Lease> m_leases;
    uint64_t m_next_lease = 1;
  };

  void TakeCopy();
  void Dispatch(const HttpRequest& request, const HttpReply& reply);
  void Range(const HttpRequest& request, const HttpReply& reply);
  void Watch(const HttpRequest& request, const HttpReply& reply);
  void Write(const HttpRequest& request, const HttpReply& reply);
  void GrantLease(const HttpRequest& request, const HttpReply& reply);
  void RenewLease(const std::string& id, const HttpReply& reply);
  void RevokeLease(const std::string& id, const HttpReply& reply);

  HttpResponse ApplyTransaction(const Json& body);
  void Put(const Json& entry);
  void Remove(const std::string& key);
  void RemoveLease(uint64_t lease);
  Json EventsAfter(const std::string& prefix, uint64_t revision) const;
  void WakeWatchers();
  void OnTimer();
  void ScheduleTimer();

  void SetFaults(const HttpRequest& request);
  std::string Stats() const;

  asio::io_context& m_io;
  asio::steady_timer m_timer;
  std::map<std::string, Item> m_items;
  std::deque<Item> m_history;
  /// Changes up to this revision are no longer in the history; a watch from an
  /// earlier revision gets 410.
  uint64_t m_compacted_revision = 0;
  uint64_t m_revision = 0;
  std::map<uint64_t, Lease> m_leases;
  uint64_t m_next_lease = 1;
  std::deque<Copy> m_copies;
  uint64_t m_era = 1;
  std::vector<Watcher> m_watchers;
  size_t m_peak_watchers = 0;
  std::map<std::string, uint64_t> m_calls;

  std::deque<HttpReply> m_unanswered;
  Clock::time_point m_refuse_until{};
  Clock::time_point m_silent_until{};
  std::chrono::milliseconds m_delay{0};
  std::chrono::milliseconds m_apply_delay{0};
  int m_responses_to_drop = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STANDIN_STORE_STANDIN_H_
