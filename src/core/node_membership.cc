/// @file node_membership.cc Heartbeats, holdings, pauses and planned stops.

#include <xxhash.h>

#include <algorithm>
#include <set>

#include "core/backend_assignment_func.h"
#include "core/node.h"
#include "core/timing_type.h"

namespace sorrelplank {

namespace {

/// Selects the VM of a place that exchanges gossip with another place. Highest
/// random weight spreads the places over the VMs, so that each VM talks to few
/// places.
VmName ChooseGossipDelegate(const std::vector<VmName>& vms,
                            NameHash other_place) {
  VmName best;
  uint64_t best_weight = 0;
  for (const VmName& vm : vms) {
    const uint64_t weight =
        XXH3_64bits_withSeed(vm.data(), vm.size(), other_place.Get());
    if (best.empty() || weight > best_weight) {
      best = vm;
      best_weight = weight;
    }
  }
  return best;
}

std::vector<VmName> NamesOf(const std::vector<const Member*>& members) {
  std::vector<VmName> names;
  names.reserve(members.size());
  for (const Member* member : members) {
    names.push_back(member->m_record.m_name);
  }
  return names;
}

}  // namespace

std::vector<VmRecord> Node::RecordsFor(NameHash place,
                                       bool wants_all,
                                       TimePoint now) {
  std::vector<VmRecord> records;
  // Each record needs its own sequence number, since the receiver drops a
  // record with a number that it has already seen.
  ++m_sequence;
  records.push_back(SelfRecord());
  const bool is_sibling = place == m_identity.m_place;
  for (const auto& [name, member] : m_membership.All()) {
    const bool is_ours = member.m_record.m_place == m_identity.m_place;
    const bool is_wanted = is_sibling ? wants_all && !is_ours : is_ours;
    if (is_wanted && m_membership.IsAlive(member, now)) {
      records.push_back(member.m_record);
    }
  }
  if (!is_sibling) {
    for (VmRecord& record : records) {
      record.m_holdings.clear();
      record.m_heard.clear();
    }
  }
  return records;
}

std::vector<VmRecord> Node::AnswerGossip(const VmRecord& from,
                                         bool wants_all,
                                         TimePoint now) {
  auto records = RecordsFor(from.m_place, wants_all, now);
  const Member* known = m_membership.Find(from.m_name);
  if (known != nullptr && known->m_record.m_incarnation > from.m_incarnation) {
    records.push_back(known->m_record);
  }
  return records;
}

std::vector<VmRecord> Node::RecordsForSiblings() {
  // Relays records that reached this VM from other places since the last
  // heartbeat. Records received from a sibling are left out, as that sibling
  // sent them to all others too. Sending everything each time would multiply
  // the traffic by the number of siblings.
  auto records = RecordsFor(m_identity.m_place, false, m_now);
  for (auto& [name, member] : m_membership.All()) {
    if (member.m_is_relay_pending) {
      records.push_back(member.m_record);
      member.m_is_relay_pending = false;
    }
  }
  return records;
}

void Node::Send(const VmName& vm,
                VmAddress address,
                std::vector<VmRecord> records) {
  const bool wants_all = m_now - m_started < kTakeoverTimeout;
  Emit(SendGossip{vm, address, std::move(records), wants_all});
}

void Node::Heartbeat() {
  const bool changed = RecordMembershipChanges();
  const bool has_removed_members = m_membership.RemoveExpired(m_now);
  ReconcileHoldings();
  if (changed || has_removed_members) {
    RebuildTables();
  }
  SendToSiblings();
  SendToPlaces();
  SendToSeed();
}

void Node::SendToSiblings() {
  const auto records = RecordsForSiblings();
  for (const auto& [name, member] : m_membership.All()) {
    if (member.m_record.m_place == m_identity.m_place) {
      Send(name, member.m_record.m_address, records);
    }
  }
}

void Node::SendToPlaces() {
  std::vector<VmName> ours = NamesOf(m_membership.LiveSiblings(m_now));
  ours.push_back(m_identity.m_name);
  std::set<NameHash> places;
  for (const auto& [name, member] : m_membership.All()) {
    places.insert(member.m_record.m_place);
  }
  places.erase(m_identity.m_place);
  for (const NameHash place : places) {
    if (ChooseGossipDelegate(ours, place) != m_identity.m_name) {
      continue;
    }
    const auto live = m_membership.LiveOf(place, m_now);
    if (live.empty()) {
      continue;
    }
    const Member* to = m_membership.Find(
        ChooseGossipDelegate(NamesOf(live), m_identity.m_place));
    Send(to->m_record.m_name, to->m_record.m_address,
         RecordsFor(place, false, m_now));
  }
}

void Node::SendToSeed() {
  // Sends to one seed per heartbeat, in turn, skipping addresses of live
  // members. This bootstraps the membership, and finds places again after a
  // network partition.
  for (size_t tries = 0; tries < m_seeds.size(); ++tries) {
    const VmAddress seed = m_seeds[m_next_seed++ % m_seeds.size()];
    const bool is_live =
        std::any_of(m_membership.All().begin(), m_membership.All().end(),
                    [&](const auto& entry) {
                      return entry.second.m_record.m_address == seed &&
                             m_membership.IsAlive(entry.second, m_now);
                    });
    if (!is_live) {
      Send(VmName(), seed, RecordsFor(NameHash(), false, m_now));
      return;
    }
  }
}

std::vector<VmName> Node::EligibleHolders() {
  std::vector<VmName> vms;
  auto may_hold = [&](const VmRecord& record) {
    const auto& leaving = m_snapshot->m_leaving_vms;
    const bool is_leaving_by_config = std::find(leaving.begin(), leaving.end(),
                                                record.m_name) != leaving.end();
    return record.m_ready && !record.m_leaving && !is_leaving_by_config;
  };
  for (const Member* member : m_membership.LiveSiblings(m_now)) {
    if (may_hold(member->m_record)) {
      vms.push_back(member->m_record.m_name);
    }
  }
  // The last VM of a place keeps its servers until it exits, as no other VM
  // could take them.
  if (may_hold(SelfRecord()) || vms.empty()) {
    vms.push_back(m_identity.m_name);
  }
  return vms;
}

void Node::ReconcileHoldings() {
  if (!m_snapshot) {
    return;
  }
  const std::vector<VmName> vms = EligibleHolders();
  const auto before = m_holdings.DispatchableBackends();
  const Holdings::View view{*m_snapshot, m_place, vms, m_membership,
                            m_sequence + 1};
  if (!m_holdings.Reconcile(view, m_now)) {
    return;
  }
  const auto after = m_holdings.DispatchableBackends();
  for (const NameHash hash : after) {
    if (std::find(before.begin(), before.end(), hash) == before.end()) {
      Record(TimelineKind::kBackendTaken,
             m_snapshot->Get(*m_snapshot->FindBackend(hash)).m_name);
    }
  }
  if (after.size() < before.size()) {
    Record(TimelineKind::kBackendReleased,
           std::to_string(before.size() - after.size()) + " released");
  }
  // Siblings wait for a record with the change, so it is sent at the next tick
  // instead of the next interval.
  m_next_heartbeat = m_now;
}

bool Node::ChangesTables(const VmRecord& record) {
  const Member* known = m_membership.Find(record.m_name);
  if (known == nullptr || !m_membership.IsAlive(*known, m_now)) {
    return true;
  }
  const VmRecord& before = known->m_record;
  return before.m_incarnation != record.m_incarnation ||
         before.m_ready != record.m_ready ||
         before.m_leaving != record.m_leaving ||
         before.m_slots.size() != record.m_slots.size() ||
         before.m_config_version != record.m_config_version;
}

void Node::RebuildTables() {
  if (!m_snapshot) {
    return;
  }
  m_routes.Build(*m_snapshot, m_place, m_membership,
                 m_safeguards.m_leaving_stops, m_now);
  m_lookups.Build(m_snapshot, m_membership, SelfRecord(), m_now);
}

void Node::CheckPause(TimePoint now) {
  const bool was_paused = now - m_now > kPauseLimit;
  if (!was_paused || !m_safeguards.m_pause_fence) {
    return;
  }
  m_resumed = now;
  // The local clock jumped: the process or its VM was paused without notice,
  // and others may have taken over its servers. Without this check, a backend
  // server gets requests from two holders and more than its slots. The check
  // suffices because a successor waits twice as long as the smallest jump
  // detected here, and because servers are held again only after each sibling's
  // record shows that it heard a claim sent after the pause. An arbitrary
  // record would not do: heartbeats from before the takeover may have waited in
  // our socket.
  ++m_counters.m_fences;
  m_holdings.Demote(m_membership, m_identity.m_place, m_sequence + 1, now);
  m_next_heartbeat = now;
  Record(TimelineKind::kFenced, "own clock jumped: paused");
}

void Node::CheckExit() {
  if (!m_stopping || m_exit_sent || !m_calls.empty()) {
    return;
  }
  const Duration ttl =
      m_snapshot ? m_snapshot->m_policy.m_lookup_ttl : Duration::zero();
  // Callers may use an answer that lists this VM for one TTL after the last VM
  // stopped listing it.
  const TimePoint last_use = m_stop_requested + ttl + kRemoteTimeout;
  // After a pause, or after a request that arrived in spite of the stop, more
  // requests may wait in the sockets. Exiting at once would drop them.
  const TimePoint quiet_since = std::max(m_last_arrival, m_resumed);
  if (m_now < last_use || m_now - quiet_since < kHeartbeatInterval) {
    return;
  }
  m_exit_sent = true;
  Record(TimelineKind::kStopped, "nothing in flight");
  Emit(ExitProcess{});
}

void Node::HandleDuplicateProcess(const VmRecord& record) {
  if (m_is_replaced) {
    return;
  }
  const bool is_new =
      !m_duplicate || m_duplicate->m_incarnation != record.m_incarnation;
  if (is_new) {
    m_duplicate =
        DuplicateProcess{record.m_incarnation, record.m_sequence, m_now};
    return;
  }
  if (record.m_sequence <= m_duplicate->m_sequence) {
    return;
  }
  // The other process is alive: this one was declared dead and replaced, so the
  // other may hold our servers by now. A single record is no proof: it may be
  // the last one of a predecessor whose clock was ahead, still being relayed.
  m_is_replaced = true;
  Record(TimelineKind::kReplaced, "a newer process uses our name");
  m_holdings.Retire();
}

void Node::RaiseIncarnation() {
  const bool is_silent = m_duplicate && !m_is_replaced &&
                         m_now - m_duplicate->m_since >= kTakeoverTimeout;
  if (!is_silent) {
    return;
  }
  // The predecessor is dead, but as long as our incarnation is lower than its,
  // all other VMs discard our heartbeats as old ones.
  m_identity.m_incarnation = Incarnation(m_duplicate->m_incarnation.Get() + 1);
  m_duplicate.reset();
  m_membership.SetIncarnation(m_identity.m_incarnation);
  m_holdings.SetIncarnation(m_identity.m_incarnation);
  m_key_filter = KeyFilter(m_identity.m_name, m_identity.m_incarnation);
  m_next_heartbeat = m_now;
}

void Node::ContactUnknownSiblings(const VmRecord& record) {
  for (const HeardHeartbeat& heard : record.m_heard) {
    const bool is_new = heard.m_name != m_identity.m_name &&
                        !m_membership.Contains(heard.m_name);
    if (is_new) {
      Send(heard.m_name, heard.m_address,
           RecordsFor(m_identity.m_place, false, m_now));
    }
  }
}

bool Node::RecordMembershipChanges() {
  bool changed = false;
  std::map<VmName, bool> alive;
  for (const auto& [name, member] : m_membership.All()) {
    alive[name] = m_membership.IsAlive(member, m_now);
    const auto before = m_previous_liveness.find(name);
    const bool was_alive =
        before != m_previous_liveness.end() && before->second;
    changed |= alive[name] != was_alive;
    if (alive[name] && !was_alive) {
      Record(TimelineKind::kVmUp, name);
    } else if (!alive[name] && was_alive) {
      Record(TimelineKind::kVmDown, name);
    }
  }
  m_previous_liveness = std::move(alive);
  return changed;
}

VmRecord Node::SelfRecord() {
  VmRecord record;
  record.m_name = m_identity.m_name;
  record.m_place = m_identity.m_place;
  record.m_address = m_identity.m_address;
  record.m_caller_port = m_identity.m_caller_port;
  record.m_incarnation = m_identity.m_incarnation;
  record.m_sequence = m_sequence;
  record.m_leaving = m_stopping;
  record.m_ready = m_snapshot != nullptr;
  record.m_config_version =
      m_snapshot ? m_snapshot->m_version : ConfigVersion();
  record.m_slots = Slots(m_now);
  record.m_holdings = m_holdings.ListedBackends(m_now);
  for (const Member* member : m_membership.LiveSiblings(m_now)) {
    const VmRecord& sibling = member->m_record;
    record.m_heard.push_back({sibling.m_name, sibling.m_incarnation,
                              sibling.m_sequence, sibling.m_address});
  }
  return record;
}

void Node::Record(TimelineKind kind,
                  const std::string& detail,
                  NameHash service,
                  RequestId request) {
  TimelineEvent event{kind, "", "", "", detail};
  if (m_snapshot) {
    event.m_place = m_snapshot->Get(m_place).m_name;
    const auto id = m_snapshot->FindService(service);
    if (id) {
      event.m_service = m_snapshot->Get(*id).m_name;
    }
  }
  if (request != RequestId()) {
    event.m_request = FormatRequestId(m_identity, request);
  }
  Emit(RecordEvent{std::move(event)});
}

}  // namespace sorrelplank
