/// @file holdings.cc Takeover and release of backend servers.

#include "core/holdings.h"

#include <algorithm>
#include <utility>

#include "core/backend_assignment_func.h"
#include "core/invariant_func.h"
#include "core/timing_type.h"

namespace sorrelplank {

namespace {

/// How long after a holder's last heartbeat its requests may still run. It
/// dispatched for at most one more heartbeat interval (otherwise there would
/// have been another heartbeat), and each request ends by its deadline. A
/// holder that was paused demotes itself after kPauseLimit, half of
/// kTakeoverTimeout.
Duration TakeoverWait(const Service& service) {
  return std::max(kTakeoverTimeout,
                  service.m_deadline + kHeartbeatInterval + kAbortGrace);
}

bool Lists(const VmRecord& record, NameHash backend) {
  return std::find(record.m_holdings.begin(), record.m_holdings.end(),
                   backend) != record.m_holdings.end();
}

}  // namespace

Holdings::Holdings(VmName self,
                   Incarnation incarnation,
                   Safeguards safeguards,
                   TimePoint start)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_safeguards(safeguards),
      m_start(start),
      m_listening_since(start) {}

void Holdings::Install(const Snapshot& snapshot, PlaceId place) {
  for (const BackendServer& backend : snapshot.m_backends) {
    if (backend.m_place != place) {
      continue;
    }
    const auto [it, is_new] = m_entries.try_emplace(backend.m_hash);
    Entry& entry = it->second;
    entry.m_takeover_wait = TakeoverWait(snapshot.Get(backend.m_service));
    if (is_new) {
      // The current holder is not known yet: an older process of the same name
      // or a VM not heard of yet may still dispatch.
      entry.m_blocked_until = m_start + entry.m_takeover_wait;
    }
    if (entry.m_backend) {
      entry.m_backend->SetSlots(backend.m_slots);
    }
  }
}

void Holdings::Observe(const VmRecord& record, TimePoint now) {
  for (auto& [hash, entry] : m_entries) {
    if (Lists(record, hash)) {
      entry.m_claimant = record.m_name;
      entry.m_claimant_incarnation = record.m_incarnation;
      entry.m_blocked_until = now + entry.m_takeover_wait;
      continue;
    }
    const bool has_released =
        entry.m_claimant == record.m_name &&
        entry.m_claimant_incarnation == record.m_incarnation;
    if (has_released) {
      // A later heartbeat of the same incarnation no longer lists the server:
      // nothing is in flight there and nothing will be dispatched, so no wait
      // is needed.
      entry.m_claimant.clear();
      entry.m_blocked_until = now;
    }
  }
}

bool Holdings::Reconcile(const View& view, TimePoint now) {
  bool changed = false;
  const auto assignment =
      AssignBackends(view.m_snapshot, view.m_place, view.m_vms);
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const auto assigned = assignment.find(it->first);
    const bool should_hold =
        assigned != assignment.end() && assigned->second == m_self;
    changed |= ReconcileEntry(it->first, it->second, should_hold, view, now);
    const bool is_gone = it->second.m_hold == Hold::kNone &&
                         !view.m_snapshot.FindBackend(it->first);
    it = is_gone ? m_entries.erase(it) : std::next(it);
  }
  return changed;
}

bool Holdings::ReconcileEntry(NameHash hash,
                              Entry& entry,
                              bool should_hold,
                              const View& view,
                              TimePoint now) {
  switch (entry.m_hold) {
    case Hold::kNone:
      if (!should_hold || m_is_retired) {
        return false;
      }
      entry.m_hold = Hold::kClaimed;
      entry.m_claim_sequence = view.m_next_sequence;
      return true;
    case Hold::kClaimed: {
      if (!should_hold) {
        entry.m_hold = Hold::kNone;
        return true;
      }
      if (!IsClaimAccepted(hash, entry, view, now)) {
        return false;
      }
      entry.m_hold = Hold::kHeld;
      entry.m_was_demoted = false;
      entry.m_claimant.clear();
      if (!entry.m_backend) {
        const auto id = view.m_snapshot.FindBackend(hash);
        Invariant(id.has_value(), "an assigned backend server is configured");
        entry.m_backend = std::make_unique<HeldBackend>(
            view.m_snapshot.Get(*id).m_slots, now);
      }
      entry.m_backend->SetHeldSince(now);
      return true;
    }
    case Hold::kHeld:
      entry.m_hold = should_hold ? Hold::kHeld : Hold::kReleasing;
      return !should_hold;
    case Hold::kReleasing:
      if (should_hold) {
        entry.m_hold = Hold::kHeld;
        return true;
      }
      if (entry.m_backend->InFlight(now) > 0) {
        return false;
      }
      entry.m_hold = Hold::kNone;
      entry.m_backend.reset();
      return true;
  }
  return false;
}

bool Holdings::IsClaimAccepted(NameHash hash,
                               const Entry& entry,
                               const View& view,
                               TimePoint now) const {
  if (!m_safeguards.m_takeover_wait) {
    return true;
  }
  if (now < entry.m_blocked_until || MayHaveMissedTakeover(entry, view, now)) {
    return false;
  }
  const NameHash place = view.m_snapshot.Get(view.m_place).m_hash;
  const auto& members = view.m_members.All();
  return std::all_of(members.begin(), members.end(), [&](const auto& item) {
    return item.second.m_record.m_place != place ||
           IsClaimAcceptedBy(item.second, hash, entry, view, now);
  });
}

bool Holdings::MayHaveMissedTakeover(const Entry& entry,
                                     const View& view,
                                     TimePoint now) const {
  if (!entry.m_was_demoted ||
      now - m_listening_since >= entry.m_takeover_wait) {
    return false;
  }
  if (m_known_at_pause.empty()) {
    return true;
  }
  // A sibling that was alive all the time has heard of any takeover during our
  // pause. A new sibling, or a new process of an old one, has not: the VM that
  // took over from us may have died since, with requests still running.
  const NameHash place = view.m_snapshot.Get(view.m_place).m_hash;
  const auto& members = view.m_members.All();
  return std::any_of(members.begin(), members.end(), [&](const auto& item) {
    const VmRecord& record = item.second.m_record;
    const auto known = m_known_at_pause.find(record.m_name);
    return record.m_place == place && (known == m_known_at_pause.end() ||
                                       known->second != record.m_incarnation);
  });
}

bool Holdings::IsClaimAcceptedBy(const Member& sibling,
                                 NameHash hash,
                                 const Entry& entry,
                                 const View& view,
                                 TimePoint now) const {
  const TimePoint silent_since = std::max(sibling.m_heard, m_listening_since);
  if (now - silent_since >= entry.m_takeover_wait) {
    return true;
  }
  const VmRecord& record = sibling.m_record;
  if (Lists(record, hash)) {
    return false;
  }
  if (record.m_config_version > view.m_snapshot.m_version) {
    // It runs a newer configuration, in which the server may be leaving.
    // Holding it by the old one would dispatch new requests to that server.
    return false;
  }
  bool has_heard_claim = false;
  for (const HeardHeartbeat& heard : record.m_heard) {
    if (heard.m_name == m_self) {
      has_heard_claim = heard.m_incarnation == m_incarnation &&
                        heard.m_sequence >= entry.m_claim_sequence;
    } else if (!view.m_members.Contains(heard.m_name)) {
      // It lists a sibling that is unknown here and may hold the server.
      return false;
    }
  }
  return has_heard_claim;
}

HeldBackend* Holdings::Dispatchable(NameHash backend) {
  const auto it = m_entries.find(backend);
  if (m_is_retired || it == m_entries.end() ||
      it->second.m_hold != Hold::kHeld) {
    return nullptr;
  }
  return it->second.m_backend.get();
}

HeldBackend* Holdings::Find(NameHash backend) {
  const auto it = m_entries.find(backend);
  return it == m_entries.end() ? nullptr : it->second.m_backend.get();
}

std::vector<NameHash> Holdings::ListedBackends(TimePoint now) {
  std::vector<NameHash> listed;
  for (auto& [hash, entry] : m_entries) {
    const bool is_busy = entry.m_backend && entry.m_backend->InFlight(now) > 0;
    if (entry.m_hold != Hold::kNone || is_busy) {
      listed.push_back(hash);
    }
  }
  return listed;
}

std::vector<NameHash> Holdings::DispatchableBackends() const {
  std::vector<NameHash> backends;
  if (m_is_retired) {
    return backends;
  }
  for (const auto& [hash, entry] : m_entries) {
    if (entry.m_hold == Hold::kHeld) {
      backends.push_back(hash);
    }
  }
  return backends;
}

void Holdings::Demote(const Membership& members,
                      NameHash place,
                      uint64_t next_sequence,
                      TimePoint now) {
  m_listening_since = now;
  m_known_at_pause.clear();
  for (const auto& [name, member] : members.All()) {
    if (member.m_record.m_place == place) {
      m_known_at_pause[name] = member.m_record.m_incarnation;
    }
  }
  for (auto& [hash, entry] : m_entries) {
    if (entry.m_hold == Hold::kNone) {
      continue;
    }
    entry.m_hold = Hold::kClaimed;
    entry.m_claim_sequence = next_sequence;
    entry.m_was_demoted = true;
  }
}

bool Holdings::IsDemoted() const {
  return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& item) {
    return item.second.m_hold == Hold::kClaimed && item.second.m_was_demoted;
  });
}

}  // namespace sorrelplank
