/// @file key_filter.cc Decisions on repeated idempotency keys.

#include "pipeline/key_filter.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

uint32_t SendNumber(const Tried& tried) {
  if (std::holds_alternative<TriedNone>(tried)) {
    return 1;
  }
  const auto* list = std::get_if<TriedList>(&tried);
  return list == nullptr ? 0 : static_cast<uint32_t>(list->size()) + 1;
}

KeyFilter::KeyFilter(VmName self, Incarnation incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation) {}

KeyDecision KeyFilter::Apply(const Call& call,
                             KeyMemory& memory,
                             const Membership& membership,
                             TimePoint now) const {
  const KeyRecord known = memory.Find(call.m_key);
  if (known.m_state != KeyState::kNeverSeen) {
    KeyDecision decision = DecideKnown(known, call);
    if (!std::holds_alternative<KeyProceed>(decision)) {
      return decision;
    }
  }
  const TriedList* tried = std::get_if<TriedList>(&call.m_tried);
  const bool has_lost_records =
      tried != nullptr && known.m_state == KeyState::kNeverSeen &&
      std::any_of(tried->begin(), tried->end(), [&](const TriedVm& vm) {
        return vm.m_name == m_self && vm.m_incarnation != m_incarnation;
      });
  if (has_lost_records) {
    // The caller tried an earlier process of this VM. Its key records are lost,
    // so it is unknown whether it ran the request.
    return KeyRefuse{RefusalReason::kRepeatUnsure, Verdict::kMayHaveRun};
  }
  memory.Begin(call.m_key, call.m_request, SendNumber(call.m_tried), now);
  std::vector<TriedVm> vms = VmsToQuery(call, membership);
  if (vms.empty()) {
    return KeyProceed{};
  }
  return KeyQueryPeers{std::move(vms)};
}

KeyDecision KeyFilter::DecideByKeyState(KeyState state) {
  switch (state) {
    case KeyState::kNeverSeen:
    case KeyState::kNotRun:
      return KeyProceed{};
    case KeyState::kInProgress:
      return KeyRefuse{RefusalReason::kRepeatInProgress, Verdict::kMayHaveRun};
    case KeyState::kRan:
      return KeyRefuse{RefusalReason::kRepeatAnswerGone, Verdict::kRan};
    case KeyState::kMayHaveRun:
    case KeyState::kClaimedByPeer:
    case KeyState::kUnknown:
      return KeyRefuse{RefusalReason::kRepeatUnsure, Verdict::kMayHaveRun};
  }
  return KeyRefuse{RefusalReason::kRepeatUnsure, Verdict::kMayHaveRun};
}

KeyDecision KeyFilter::DecideKnown(const KeyRecord& known,
                                   const Call& call) const {
  const uint32_t send = SendNumber(call.m_tried);
  switch (known.m_state) {
    case KeyState::kRan:
      return KeyReplay{known.m_request};
    case KeyState::kClaimedByPeer:
    case KeyState::kNotRun:
      // Only a later send than the recorded one may proceed. An earlier one was
      // delayed on its way; the caller has sent the key again since, and its
      // request may have run elsewhere. If the caller does not state its
      // earlier sends, the request proceeds and all other VMs are queried
      // again.
      if (send == 0 || send > known.m_send) {
        return KeyProceed{};
      }
      return KeyRefuse{RefusalReason::kSuperseded, Verdict::kNotRun};
    default:
      return DecideByKeyState(known.m_state);
  }
}

std::vector<TriedVm> KeyFilter::VmsToQuery(const Call& call,
                                           const Membership& membership) const {
  std::vector<TriedVm> vms;
  if (const auto* tried = std::get_if<TriedList>(&call.m_tried)) {
    std::copy_if(tried->begin(), tried->end(), std::back_inserter(vms),
                 [&](const TriedVm& vm) { return vm.m_name != m_self; });
    return vms;
  }
  if (std::holds_alternative<TriedNone>(call.m_tried)) {
    return vms;
  }
  // The caller does not state its earlier sends: every VM that may have
  // received one is queried. That includes silent VMs; a missing answer then
  // counts as "may have run".
  for (const auto& [name, member] : membership.All()) {
    vms.push_back({name, member.m_record.m_incarnation});
  }
  return vms;
}

}  // namespace sorrelplank
