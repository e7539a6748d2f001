/// @file store_fleet.cc The simulated store, links and VMs.

#include "tests/store_fleet.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

#include "platform/decode_func.h"
#include "platform/wire_names.h"

namespace sorrelplank::platform {

namespace {

constexpr Duration kStoreRoundTrip = milliseconds(10);
constexpr Duration kVmLatency = milliseconds(2);
/// Timeout margins beyond the time that a call may wait, as in the real
/// clients.
constexpr Duration kStoreTimeoutSlack = milliseconds(600);
constexpr Duration kRelayTimeoutSlack = milliseconds(300);
constexpr Duration kReadTimeout = milliseconds(800);
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kWatchPollInterval = milliseconds(5);
/// A read with ReadMode::kMayBeStale omits this many of the latest changes.
constexpr size_t kStaleReadChanges = 5;
constexpr size_t kPageItems = 50;
constexpr uint16_t kFeedPort = 7;

/// The item as an answer of the store in this era shows it.
StoreItem InEra(StoreItem item, StoreEra era) {
  item.m_revision = Revision(item.m_revision.Get(), era);
  return item;
}

}  // namespace

StoreFleet::StoreFleet(size_t domains, size_t vms_per_domain, Duration max_lag)
    : m_max_lag(max_lag), m_log("fleet", open("/dev/null", O_WRONLY)) {
  for (size_t number = 0; number < domains * vms_per_domain; ++number) {
    auto vm = std::make_unique<Vm>();
    vm->m_number = number;
    vm->m_address = {static_cast<uint32_t>(0x0A000001 + number), kFeedPort};
    vm->m_member = {.m_vm = "vm-" + std::to_string(number),
                    .m_client_address = FormatIp(vm->m_address.m_ip) + ":80",
                    .m_failure_domain = "d" + std::to_string(number % domains),
                    .m_region = "r" + std::to_string(number % domains / 2)};
    m_vms.push_back(std::move(vm));
  }
}

StoreFleet::~StoreFleet() = default;

void StoreFleet::StartAll() {
  StartFirst(m_vms.size());
}

void StoreFleet::StartFirst(size_t count) {
  for (const auto& vm : m_vms) {
    if (vm->m_number >= count) {
      vm->m_faults.m_is_down = true;
      continue;
    }
    const auto delay = milliseconds(vm->m_number * 300 / count);
    m_queue.After(delay, [this, &vm = *vm] { Start(vm); });
  }
}

void StoreFleet::Start(Vm& vm) {
  ++vm.m_run;
  vm.m_copy.clear();
  StoreFollower::Options options{
      .m_max_lag = m_max_lag,
      .m_domain_prefix = MemberPrefix(vm.m_member.m_failure_domain),
      .m_find_relays = [&vm](const std::vector<StoreItem>& entries) {
        return ChooseRelays(DecodeMembers(entries), vm.m_member, kFeedPort);
      }};
  vm.m_follower = std::make_unique<StoreFollower>(
      m_log, std::move(options), static_cast<uint32_t>(vm.m_number + 1),
      [this, &vm](const StoreMirror::Changes& changes) {
        ApplyChanges(vm, changes);
      });
  Execute(vm, vm.m_follower->Start(m_queue.Now()));
  Tick(vm, vm.m_run);
  RunAfter(vm, kStoreRoundTrip, [this, &vm] {
    Put(MemberKey(vm.m_member), EncodeMember(vm.m_member));
  });
}

void StoreFleet::Restart(size_t vm) {
  m_vms[vm]->m_faults = VmFaults();
  Start(*m_vms[vm]);
}

void StoreFleet::RestartAll(Duration away) {
  for (const auto& vm : m_vms) {
    vm->m_faults.m_is_down = true;
  }
  RunFor(away);
  for (const auto& vm : m_vms) {
    Restart(vm->m_number);
  }
}

void StoreFleet::Tick(Vm& vm, uint64_t run) {
  if (vm.m_run != run) {
    return;
  }
  if (!vm.m_faults.m_is_down && !vm.m_faults.m_is_paused) {
    vm.m_follower->Tick(m_queue.Now());
  }
  m_queue.After(kTickInterval, [this, &vm, run] { Tick(vm, run); });
}

void StoreFleet::ApplyChanges(Vm& vm, const StoreMirror::Changes& changes) {
  size_t removed_count = 0;
  for (const StoreItem& item : changes) {
    const auto known = vm.m_copy.find(item.m_key);
    const bool is_older =
        known != vm.m_copy.end() && item.m_revision < known->second.m_revision;
    m_has_regressed |= is_older;
    if (item.m_removed) {
      ++removed_count;
      vm.m_copy.erase(item.m_key);
    } else {
      vm.m_copy[item.m_key] = item;
    }
  }
  m_max_removed_at_once = std::max(m_max_removed_at_once, removed_count);
  std::vector<FleetMember> fleet;
  for (const auto& [key, item] : vm.m_copy) {
    if (key.starts_with(kFleetPrefix)) {
      fleet.push_back(DecodeMember(item.m_value));
    }
  }
  vm.m_follower->SetChoice(ChooseRelays(fleet, vm.m_member, kFeedPort), Now());
}

void StoreFleet::RunAfter(Vm& vm, Duration delay, std::function<void()> step) {
  m_queue.After(delay, [this, &vm, run = vm.m_run, step = std::move(step)] {
    if (vm.m_run != run || vm.m_faults.m_is_down) {
      return;
    }
    if (vm.m_faults.m_is_paused) {
      RunAfter(vm, kTickInterval, step);
      return;
    }
    step();
  });
}

void StoreFleet::Execute(Vm& vm, const FollowAction& action) {
  std::visit([&](const auto& one) { Execute(vm, one); }, action);
}

void StoreFleet::Execute(Vm& vm, const PauseFollowing& pause) {
  RunAfter(vm, pause.m_duration,
           [this, &vm] { Execute(vm, vm.m_follower->Resume(m_queue.Now())); });
}

bool StoreFleet::IsAnswered(
    Vm& vm,
    Duration timeout,
    const std::function<void(const StoreReadResult&)>& take) {
  StoreReadResult failed;
  if (m_is_store_silent || vm.m_faults.m_is_cut_off_from_store) {
    RunAfter(vm, timeout, [take, failed] { take(failed); });
    return false;
  }
  if (m_is_store_refusing || vm.m_faults.m_is_refused_by_store) {
    failed.m_end = StoreOutcome::kRefused;
    RunAfter(vm, kStoreRoundTrip, [take, failed] { take(failed); });
    return false;
  }
  return true;
}

void StoreFleet::Execute(Vm& vm, const ReadPage& page) {
  ++m_calls;
  const auto take = [this, &vm](const StoreReadResult& read) {
    Execute(vm, vm.m_follower->OnPageRead(read, m_queue.Now()));
  };
  if (!IsAnswered(vm, kReadTimeout, take)) {
    return;
  }
  StoreReadResult read;
  read.m_end = StoreOutcome::kDone;
  read.m_era = StoreEra(m_era);
  read.m_revision = Revision(m_revision, read.m_era);
  std::set<std::string> left_out;
  if (page.m_mode == ReadMode::kMayBeStale) {
    const size_t old_by = std::min(kStaleReadChanges, m_history.size());
    for (size_t at = m_history.size() - old_by; at < m_history.size(); ++at) {
      left_out.insert(m_history[at].m_key);
      read.m_revision =
          std::min(read.m_revision,
                   Revision(m_history[at].m_revision.Get() - 1, read.m_era));
    }
  }
  const std::string begin = std::max(page.m_prefix, page.m_after);
  for (auto it = page.m_after.empty() ? m_items.lower_bound(begin)
                                      : m_items.upper_bound(begin);
       it != m_items.end() && it->first.starts_with(page.m_prefix); ++it) {
    if (read.m_items.size() == kPageItems) {
      read.m_has_more = true;
      break;
    }
    if (!left_out.contains(it->first)) {
      read.m_items.push_back(InEra(it->second, read.m_era));
    }
  }
  m_items_read += read.m_items.size();
  RunAfter(vm, kStoreRoundTrip, [take, read] { take(read); });
}

StoreReadResult StoreFleet::EventsAfter(Revision revision) const {
  StoreReadResult read;
  read.m_era = StoreEra(m_era);
  if (revision.Get() < m_discarded_revision || revision.Get() > m_revision) {
    read.m_end = StoreOutcome::kHistoryGone;
    return read;
  }
  read.m_end = StoreOutcome::kDone;
  read.m_revision = Revision(m_revision, read.m_era);
  for (const StoreItem& event : m_history) {
    if (event.m_revision.Get() <= revision.Get()) {
      continue;
    }
    read.m_items.push_back(InEra(event, read.m_era));
    if (read.m_items.size() == m_max_watch_events) {
      read.m_revision = read.m_items.back().m_revision;
      break;
    }
  }
  return read;
}

void StoreFleet::PollWatch(
    Vm& vm,
    Revision after,
    TimePoint until,
    const std::function<void(const StoreReadResult&)>& take) {
  // An unanswered watch is noticed only when its own wait is over.
  const auto left = std::max<Duration>(until - m_queue.Now(), Duration::zero());
  if (!IsAnswered(vm, left + kStoreTimeoutSlack, take)) {
    return;
  }
  const StoreReadResult read = EventsAfter(after);
  const bool is_over = read.m_end != StoreOutcome::kDone ||
                       !read.m_items.empty() || m_queue.Now() >= until;
  if (is_over) {
    RunAfter(vm, kStoreRoundTrip, [take, read] { take(read); });
    return;
  }
  RunAfter(vm, kWatchPollInterval, [this, &vm, after, until, take] {
    PollWatch(vm, after, until, take);
  });
}

void StoreFleet::Execute(Vm& vm, const WatchStore& watch) {
  ++m_calls;
  PollWatch(vm, watch.m_after, m_queue.Now() + watch.m_wait,
            [this, &vm](const StoreReadResult& read) {
              Execute(vm, vm.m_follower->OnStoreResponse(read, m_queue.Now()));
            });
}

void StoreFleet::Execute(Vm& vm, const QueryRelay& query) {
  const auto is_answered = std::make_shared<bool>(false);
  const auto take = [this, &vm, is_answered](const FeedReply& reply) {
    if (*is_answered) {
      return;
    }
    *is_answered = true;
    Execute(vm, vm.m_follower->OnRelayReply(reply, m_queue.Now()));
  };
  const auto relay = std::find_if(m_vms.begin(), m_vms.end(),
                                  [&](const std::unique_ptr<Vm>& other) {
                                    return other->m_address == query.m_relay;
                                  });
  RunAfter(vm, query.m_query.m_wait + kRelayTimeoutSlack,
           [take] { take(FeedReply()); });
  Vm& other = **relay;
  RunAfter(other, kVmLatency, [this, &vm, &other, query, take] {
    other.m_follower->Relay().Query(
        query.m_query,
        [this, &vm, &other, take](const FeedReply& reply) {
          if (!other.m_faults.m_drops_answers) {
            RunAfter(vm, kVmLatency, [take, reply] { take(reply); });
          }
        },
        m_queue.Now());
  });
}

void StoreFleet::RunFor(Duration time) {
  const TimePoint end = m_queue.Now() + time;
  bool is_over = false;
  m_queue.At(end, [&] { is_over = true; });
  while (!is_over) {
    m_queue.RunOne();
  }
}

void StoreFleet::Put(const std::string& key, const std::string& value) {
  const StoreItem item{key, value, Revision(++m_revision), false};
  m_items[key] = item;
  m_history.push_back(item);
  m_all_changes.push_back(item);
}

void StoreFleet::Remove(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_history.push_back({key, "", Revision(++m_revision), true});
    m_all_changes.push_back(m_history.back());
  }
}

void StoreFleet::DiscardHistory() {
  m_history.clear();
  m_discarded_revision = m_revision;
}

void StoreFleet::RestoreOlderCopy(size_t changes) {
  m_all_changes.resize(m_all_changes.size() -
                       std::min(changes, m_all_changes.size()));
  m_items.clear();
  for (const StoreItem& change : m_all_changes) {
    if (change.m_removed) {
      m_items.erase(change.m_key);
    } else {
      m_items[change.m_key] = change;
    }
  }
  m_history = m_all_changes;
  m_revision =
      m_all_changes.empty() ? 0 : m_all_changes.back().m_revision.Get();
  m_discarded_revision = std::min(m_discarded_revision, m_revision);
  ++m_era;
}

std::vector<size_t> StoreFleet::Watchers() const {
  std::vector<size_t> watchers;
  for (const auto& vm : m_vms) {
    if (vm->m_follower && vm->m_follower->IsWatchingStore()) {
      watchers.push_back(vm->m_number);
    }
  }
  return watchers;
}

bool StoreFleet::HasValue(size_t vm,
                          const std::string& key,
                          const std::string& value) const {
  const auto& known = m_vms[vm]->m_copy;
  const auto it = known.find(key);
  return it == known.end() ? value.empty() : it->second.m_value == value;
}

Duration StoreFleet::TimeUntilAllHave(const std::string& key,
                                      const std::string& value,
                                      Duration limit) {
  const TimePoint began = m_queue.Now();
  while (m_queue.Now() - began < limit) {
    const bool all_have =
        std::all_of(m_vms.begin(), m_vms.end(), [&](const auto& vm) {
          return vm->m_faults.m_is_down || vm->m_faults.m_is_paused ||
                 HasValue(vm->m_number, key, value);
        });
    if (all_have) {
      return m_queue.Now() - began;
    }
    RunFor(kTickInterval);
  }
  return limit;
}

}  // namespace sorrelplank::platform
