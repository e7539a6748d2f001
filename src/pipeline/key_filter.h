/// @file key_filter.h Second filter: detects repeated requests by their key.

#ifndef SORRELPLANK_PIPELINE_KEY_FILTER_H_
#define SORRELPLANK_PIPELINE_KEY_FILTER_H_

#include <variant>
#include <vector>

#include "core/call_type.h"
#include "core/key_memory.h"
#include "core/membership.h"
#include "core/refusal_type.h"
#include "core/verdict_type.h"

namespace sorrelplank {

/// The request may proceed.
struct KeyProceed {};
/// The request is answered from an earlier run.
struct KeyReplay {
  RequestId m_original;
};
/// The request is refused.
struct KeyRefuse {
  RefusalReason m_reason;
  Verdict m_verdict;
};
/// Other entry VMs have to be queried first.
struct KeyQueryPeers {
  std::vector<TriedVm> m_vms;
};
using KeyDecision =
    std::variant<KeyProceed, KeyReplay, KeyRefuse, KeyQueryPeers>;

/// Decides on requests that carry an idempotency key for a non-idempotent
/// service. A first send only records the key, without any messages. Only a
/// repeat queries the entry VMs that the caller tried before.
class KeyFilter {
 public:
  KeyFilter(VmName self, Incarnation incarnation);

  /// Returns the decision. Marks the key as in progress if the call proceeds or
  /// queries other VMs.
  KeyDecision Apply(const Call& call,
                    KeyMemory& memory,
                    const Membership& membership,
                    TimePoint now) const;

  /// Returns the decision that another VM's key state implies for the querying
  /// call.
  static KeyDecision DecideByKeyState(KeyState state);

 private:
  KeyDecision DecideKnown(const KeyRecord& known, const Call& call) const;
  std::vector<TriedVm> VmsToQuery(const Call& call,
                                  const Membership& membership) const;

  VmName m_self;
  Incarnation m_incarnation;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PIPELINE_KEY_FILTER_H_
