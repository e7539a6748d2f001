/// @file quota_gate.h Applies quotas to requests at one entry VM.

#ifndef SORRELPLANK_STEER_QUOTA_GATE_H_
#define SORRELPLANK_STEER_QUOTA_GATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/quota_bounds_type.h"
#include "steer/quota_directory.h"
#include "steer/quota_message_type.h"
#include "steer/quota_terms_type.h"
#include "steer/token_bucket.h"

namespace sorrelplank {

/// Decision on a request.
enum class QuotaVerdict : uint8_t {
  kPass,                ///< The request has a token.
  kWait,                ///< The request waits for a keeper.
  kExhausted,           ///< The quota is used up.
  kKeepersUnreachable,  ///< No keeper responds.
};

/// Decision on a request that waited.
struct QuotaOutcome {
  RequestId m_request;
  QuotaVerdict m_verdict = QuotaVerdict::kPass;
};

/// Quota tokens held by one entry VM.
///
/// Each request under a quota takes a token. Without one, the VM asks the
/// keeper in its own region, then the keepers in the other regions if that one
/// has none left or does not respond. It also prefetches tokens, about as many
/// as the requests expected within `kPrefetchTime`, so that requests seldom
/// wait where many arrive.
class QuotaGate {
 public:
  /// Regions in the order in which their keepers are asked; own region first.
  explicit QuotaGate(std::vector<std::string> regions);

  void SetBounds(const QuotaBounds& bounds) { m_bounds = bounds; }
  void SetFleet(const std::vector<FleetMember>& fleet);
  const QuotaDirectory& Directory() const { return m_directory; }
  /// Number of keepers of one quota.
  size_t KeeperCount() const { return m_regions.size(); }

  /// Takes a token for a request, or queues the request until a keeper
  /// responds.
  QuotaVerdict Arrived(RequestId request,
                       QuotaSubject subject,
                       const QuotaTerms& terms,
                       TimePoint now);
  /// Removes a waiting request.
  void CancelWait(RequestId request, QuotaSubject subject);
  /// Returns the token of a request that will not run.
  void Return(QuotaSubject subject, TimePoint now);

  /// Removes and returns the requests to send to keepers.
  std::vector<AddressedQuotaRequest> TakeQuotaRequests();
  /// Handles a grant of a keeper.
  std::vector<QuotaOutcome> TakeGrant(const QuotaGrant& grant, TimePoint now);
  /// Handles keepers that did not respond in time.
  std::vector<QuotaOutcome> Tick(TimePoint now);

  /// Time after which refused requests should be retried.
  Duration RetryAfter(QuotaSubject subject) const;

  /// Whether a request that arrives now would be refused at once, without
  /// asking a keeper.
  bool IsRefused(QuotaSubject subject, TimePoint now) const;

  size_t WaitingCount() const;

 private:
  /// A quota request without a grant yet.
  struct PendingRequest {
    uint64_t m_number = 0;
    uint32_t m_tokens = 0;
    std::string m_keeper;
    /// Index in m_regions.
    size_t m_region = 0;
    /// Whether a keeper in an earlier region responded.
    bool m_has_reached_keeper = false;
  };

  /// Send time of a quota request.
  struct SentRequest {
    QuotaSubject m_subject;
    uint64_t m_number = 0;
    TimePoint m_sent_at;
  };

  /// State of one quota.
  struct Account {
    uint32_t m_tokens = 0;
    TimePoint m_tokens_expire_at;
    std::list<RequestId> m_waiting;
    std::optional<PendingRequest> m_pending;
    /// Exponentially decayed count of recent requests; `kRateDecayTime`.
    double m_recent = 0;
    TimePoint m_last_arrival;
    /// Until then requests without a token are refused without asking.
    TimePoint m_refused_until;
    /// Whether a keeper responded to the last quota request.
    bool m_has_reached_keeper = true;
    Duration m_retry_after{};
    /// Used while no keeper is reachable.
    std::optional<TokenBucket> m_fallback_bucket;
  };

  void CountArrival(Account& account, TimePoint now) const;
  /// Number of tokens to hold for requests to come.
  uint32_t TokensToPrefetch(const Account& account) const;
  bool TakeToken(Account& account, TimePoint now) const;
  /// Requests tokens from the first keeper that is not known as silent,
  /// starting at `region`. Returns false if there is none.
  bool RequestTokens(QuotaSubject subject,
                     Account& account,
                     size_t region,
                     bool has_reached_keeper,
                     TimePoint now);
  /// Decides all waiting requests without a token.
  void RefuseWaiting(Account& account,
                     TimePoint now,
                     std::vector<QuotaOutcome>& outcomes);
  void ServeWaiting(Account& account,
                    TimePoint now,
                    std::vector<QuotaOutcome>& outcomes) const;
  /// Continues after a keeper that had too few tokens or did not respond.
  void RequestFromNextKeeper(QuotaSubject subject,
                             Account& account,
                             const PendingRequest& previous,
                             TimePoint now,
                             std::vector<QuotaOutcome>& outcomes);
  QuotaVerdict VerdictWithoutToken(Account& account, TimePoint now) const;
  void DropUnused(TimePoint now);

  std::vector<std::string> m_regions;
  QuotaBounds m_bounds;
  QuotaDirectory m_directory;
  size_t m_vm_count = 1;
  std::unordered_map<QuotaSubject, Account> m_accounts;
  std::vector<AddressedQuotaRequest> m_quota_requests;
  /// In the order of sending.
  std::deque<SentRequest> m_sent_requests;
  TimePoint m_last_sweep{};
  uint64_t m_next_number = 1;
  /// VMs that did not respond, and until when they are not asked again.
  std::map<std::string, TimePoint> m_silent_keepers;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_GATE_H_
