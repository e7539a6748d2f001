/// @file quota_gate.h Which requests a quota lets pass.

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
#include "steer/quota_bucket.h"
#include "steer/quota_directory.h"
#include "steer/quota_message_type.h"
#include "steer/quota_terms_type.h"

namespace sorrelplank {

/// What becomes of a request.
enum class QuotaVerdict : uint8_t {
  kPass,        ///< It has a token.
  kWait,        ///< A keeper was asked.
  kOver,        ///< The quota is used up.
  kOutOfReach,  ///< No keeper is within reach.
};

/// A request that waited, and what becomes of it.
struct QuotaOutcome {
  RequestId m_request;
  QuotaVerdict m_verdict = QuotaVerdict::kPass;
};

/// Tokens of one entry VM.
///
/// Each request that a quota counts takes a token. Where this VM
/// has none it asks the keeper of its own region, and those of the other
/// regions where that one has none left or is silent. Tokens for the next
/// requests are asked for along with it, as many as usually come within the
/// time that they are kept; so where many requests come they seldom wait.
class QuotaGate {
 public:
  /// Regions in the order in which they are asked; the own one first.
  explicit QuotaGate(std::vector<std::string> regions);

  void SetBounds(const QuotaBounds& bounds) { m_bounds = bounds; }
  void SetFleet(const std::vector<FleetMember>& fleet);
  const QuotaDirectory& Directory() const { return m_directory; }
  /// Keepers of one quota.
  size_t KeeperCount() const { return m_regions.size(); }

  /// A request for which a quota needs a token.
  QuotaVerdict Arrived(RequestId request,
                       QuotaSubject subject,
                       const QuotaTerms& terms,
                       TimePoint now);
  /// A request that waits is given up.
  void Left(RequestId request, QuotaSubject subject);
  /// A request that took a token will not run.
  void Return(QuotaSubject subject, TimePoint now);

  /// What to ask now.
  std::vector<QuotaQuestion> TakeQuestions();
  /// A keeper answered.
  std::vector<QuotaOutcome> TakeGrant(const QuotaGrant& grant, TimePoint now);
  /// Keepers that stay silent.
  std::vector<QuotaOutcome> Tick(TimePoint now);

  /// When requests that were refused may come back.
  Duration ComeBackAfter(QuotaSubject subject) const;

  /// Whether a request that arrives now would be told at once that there is no
  /// token.
  bool IsRefused(QuotaSubject subject, TimePoint now) const;

  size_t WaitingCount() const;

 private:
  /// A question that has no answer yet.
  struct Open {
    uint64_t m_number = 0;
    uint32_t m_tokens = 0;
    std::string m_keeper;
    /// Place in m_regions.
    size_t m_region = 0;
    /// Whether a keeper of a region before it answered.
    bool m_was_reached = false;
  };

  /// When a question was asked.
  struct Asked {
    QuotaSubject m_subject;
    uint64_t m_number = 0;
    TimePoint m_at;
  };

  /// What it knows of one quota.
  struct Account {
    uint32_t m_tokens = 0;
    TimePoint m_tokens_end;
    std::list<RequestId> m_waiting;
    std::optional<Open> m_open;
    /// Requests lately, each fading over a second.
    double m_recent = 0;
    TimePoint m_arrived;
    /// Until then the answer is known without asking.
    TimePoint m_refused_until;
    /// Whether a keeper answered when tokens were last asked for.
    bool m_was_reached = true;
    Duration m_wait{};
    /// Used while no keeper is within reach.
    std::optional<QuotaBucket> m_alone;
  };

  void CountArrival(Account& account, TimePoint now) const;
  /// Tokens to have at hand for requests to come.
  uint32_t TokensAhead(const Account& account) const;
  bool TakeToken(Account& account, TimePoint now) const;
  /// Asks the next keeper within reach, from this region on; false without one.
  bool Ask(QuotaSubject subject,
           Account& account,
           size_t region,
           bool was_reached,
           TimePoint now);
  /// Ends the search for tokens for all that wait.
  void RefuseWaiting(Account& account,
                     TimePoint now,
                     std::vector<QuotaOutcome>& outcomes);
  void ServeWaiting(Account& account,
                    TimePoint now,
                    std::vector<QuotaOutcome>& outcomes) const;
  /// Goes on after a keeper that had too little or stayed silent.
  void AskNext(QuotaSubject subject,
               Account& account,
               const Open& before,
               TimePoint now,
               std::vector<QuotaOutcome>& outcomes);
  QuotaVerdict VerdictWithoutToken(Account& account, TimePoint now) const;
  void ForgetUnused(TimePoint now);

  std::vector<std::string> m_regions;
  QuotaBounds m_bounds;
  QuotaDirectory m_directory;
  size_t m_vms = 1;
  std::unordered_map<QuotaSubject, Account> m_accounts;
  std::vector<QuotaQuestion> m_questions;
  /// In the order of asking.
  std::deque<Asked> m_asked;
  TimePoint m_swept{};
  uint64_t m_next_number = 1;
  /// VMs that did not answer, until when they are not asked again.
  std::map<std::string, TimePoint> m_silent;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_GATE_H_
