/// @file store_standin.cc Request handlers and faults of the stand-in store.

#include "standin/store_standin.h"

#include <algorithm>
#include <memory>
#include <restinio/utils/base64.hpp>
#include <utility>

namespace sorrelplank {

namespace {

using nlohmann::json;
namespace base64 = restinio::utils::base64;

constexpr size_t kPageItems = 50;
/// A page ends before the item with which its values would exceed this.
constexpr size_t kPageBytes = 1'000'000;
constexpr size_t kMaxHistoryItems = 10000;
constexpr auto kTimerInterval = std::chrono::milliseconds(50);
/// Interval between copies that the store can be restored from, and how long
/// they are kept.
constexpr auto kCopyInterval = std::chrono::milliseconds(500);
constexpr auto kMaxCopyAge = std::chrono::seconds(12);

HttpResponse JsonResponse(int status, const json& body = json::object()) {
  HttpResponse response;
  response.m_status = status;
  response.m_body = body.dump();
  return response;
}

std::string QueryText(const HttpRequest& request, const char* name) {
  const auto query = request.Query();
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

template <typename Item>
json ToJson(const Item& item) {
  if (item.m_removed) {
    return {{"Key", item.m_key}, {"Rev", item.m_revision}, {"Deleted", true}};
  }
  return {{"Key", item.m_key},
          {"Value", item.m_value},
          {"Rev", item.m_revision},
          {"Created", item.m_created},
          {"Lease", item.m_lease}};
}

}  // namespace

StoreStandin::StoreStandin(asio::io_context& io) : m_io(io), m_timer(io) {
  ScheduleTimer();
}

void StoreStandin::Serve(const HttpRequest& request,
                         const HttpReply& plain_reply) {
  const HttpReply reply = [this, plain_reply](HttpResponse response) {
    response.m_headers.emplace_back("Store-Era", std::to_string(m_era));
    plain_reply(std::move(response));
  };
  if (request.m_path == "/v1/fault") {
    SetFaults(request);
    reply(JsonResponse(200));
    return;
  }
  if (request.m_path == "/v1/stats") {
    HttpResponse response;
    response.m_body = Stats();
    reply(std::move(response));
    return;
  }
  ++m_calls[request.m_method];
  const auto now = Clock::now();
  if (now < m_silent_until) {
    m_unanswered.push_back(reply);
    return;
  }
  if (now < m_refuse_until) {
    reply(JsonResponse(503));
    return;
  }
  if (m_delay.count() == 0) {
    Dispatch(request, reply);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(m_io, m_delay);
  timer->async_wait([this, timer, request, reply](std::error_code) {
    Dispatch(request, reply);
  });
}

void StoreStandin::Dispatch(const HttpRequest& request,
                            const HttpReply& reply) {
  const std::string& path = request.m_path;
  const std::string renew = "/sorrelplank/kv-keep/";
  const std::string end = "/sorrelplank/kv-lease-end/";
  try {
    if (path == "/sorrelplank/kv-range") {
      Range(request, reply);
    } else if (path == "/sorrelplank/kv-watch") {
      Watch(request, reply);
    } else if (path == "/sorrelplank/kv-txn") {
      Write(request, reply);
    } else if (path == "/sorrelplank/kv-lease") {
      GrantLease(request, reply);
    } else if (path.starts_with(renew)) {
      RenewLease(path.substr(renew.size()), reply);
    } else if (path.starts_with(end)) {
      RevokeLease(path.substr(end.size()), reply);
    } else {
      reply(JsonResponse(404));
    }
  } catch (const std::exception& error) {
    reply(JsonResponse(400, {{"error", error.what()}}));
  }
}

void StoreStandin::Range(const HttpRequest& request, const HttpReply& reply) {
  const std::string prefix = QueryText(request, "Prefix");
  const std::string after = QueryText(request, "after");
  json items = json::array();
  bool has_more = false;
  size_t bytes = 0;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    bytes += item.m_value.size();
    if (items.size() == kPageItems || (!items.empty() && bytes > kPageBytes)) {
      has_more = true;
      break;
    }
    items.push_back(ToJson(item));
  }
  reply(JsonResponse(200, {{"items", items},
                           {"HasMore", has_more},
                           {"StoreRevision", m_revision}}));
}

json StoreStandin::EventsAfter(const std::string& prefix,
                               uint64_t revision) const {
  json events = json::array();
  for (const Item& item : m_history) {
    if (item.m_revision > revision && item.m_key.starts_with(prefix)) {
      events.push_back(ToJson(item));
    }
  }
  return events;
}

void StoreStandin::Watch(const HttpRequest& request, const HttpReply& reply) {
  Watcher watcher;
  watcher.m_prefix = QueryText(request, "Prefix");
  watcher.m_after_revision = ToNumber(QueryText(request, "after"));
  watcher.m_expires =
      Clock::now() +
      std::chrono::milliseconds(ToNumber(QueryText(request, "WaitMs")));
  watcher.m_reply = reply;
  if (watcher.m_after_revision < m_compacted_revision ||
      watcher.m_after_revision > m_revision) {
    reply(JsonResponse(410));
    return;
  }
  m_watchers.push_back(std::move(watcher));
  m_peak_watchers = std::max(m_peak_watchers, m_watchers.size());
  WakeWatchers();
}

void StoreStandin::WakeWatchers() {
  const auto now = Clock::now();
  std::erase_if(m_watchers, [&](const Watcher& watcher) {
    const json events = EventsAfter(watcher.m_prefix, watcher.m_after_revision);
    if (events.empty() && now < watcher.m_expires) {
      return false;
    }
    watcher.m_reply(
        JsonResponse(200, {{"events", events}, {"StoreRevision", m_revision}}));
    return true;
  });
}

void StoreStandin::Write(const HttpRequest& request, const HttpReply& reply) {
  const json body = json::parse(request.m_body);
  if (m_apply_delay.count() > 0) {
    m_unanswered.push_back(reply);
    auto timer = std::make_shared<asio::steady_timer>(m_io, m_apply_delay);
    timer->async_wait(
        [this, timer, body](std::error_code) { ApplyTransaction(body); });
    return;
  }
  const HttpResponse response = ApplyTransaction(body);
  if (m_responses_to_drop > 0) {
    --m_responses_to_drop;
    m_unanswered.push_back(reply);
    return;
  }
  reply(response);
}

HttpResponse StoreStandin::ApplyTransaction(const json& body) {
  json states = json::array();
  bool matches = true;
  for (const json& expect : body.at("Expect")) {
    const auto key = expect.at("Key").get<std::string>();
    const auto it = m_items.find(key);
    const uint64_t revision = it == m_items.end() ? 0 : it->second.m_revision;
    matches = matches && revision == expect.at("Rev").get<uint64_t>();
    if (it != m_items.end()) {
      states.push_back(ToJson(it->second));
    }
  }
  if (!matches) {
    return JsonResponse(412, {{"items", states}});
  }
  for (const json& put : body.at("Put")) {
    const uint64_t lease = put.value("Lease", uint64_t{0});
    if (lease != 0 && !m_leases.contains(lease)) {
      return JsonResponse(404);
    }
  }
  ++m_revision;
  for (const json& put : body.at("Put")) {
    Put(put);
  }
  for (const json& key : body.at("Remove")) {
    Remove(key.get<std::string>());
  }
  WakeWatchers();
  return JsonResponse(200, {{"Rev", m_revision}});
}

void StoreStandin::PutText(const std::string& key, const std::string& value) {
  ++m_revision;
  Put({{"Key", key}, {"Value", base64::encode(value)}});
  WakeWatchers();
}

void StoreStandin::RemoveKey(const std::string& key) {
  ++m_revision;
  Remove(key);
  WakeWatchers();
}

void StoreStandin::Put(const json& entry) {
  const auto key = entry.at("Key").get<std::string>();
  Item& item = m_items[key];
  if (item.m_created == 0) {
    item.m_created = m_revision;
  }
  item.m_key = key;
  item.m_value = entry.at("Value").get<std::string>();
  item.m_revision = m_revision;
  item.m_lease = entry.value("Lease", uint64_t{0});
  m_history.push_back(item);
  if (m_history.size() > kMaxHistoryItems) {
    m_compacted_revision = m_history.front().m_revision;
    m_history.pop_front();
  }
}

void StoreStandin::Remove(const std::string& key) {
  if (m_items.erase(key) == 0) {
    return;
  }
  Item removal;
  removal.m_key = key;
  removal.m_revision = m_revision;
  removal.m_removed = true;
  m_history.push_back(std::move(removal));
}

void StoreStandin::GrantLease(const HttpRequest& request,
                              const HttpReply& reply) {
  const json body = json::parse(request.m_body);
  const std::chrono::duration<double> lifetime(
      body.at("TtlS_time").get<double>());
  const uint64_t id = m_next_lease++;
  m_leases[id] = {
      lifetime,
      Clock::now() + std::chrono::duration_cast<Clock::duration>(lifetime)};
  reply(JsonResponse(200, {{"Lease", id}, {"TtlS_time", lifetime.count()}}));
}

void StoreStandin::RenewLease(const std::string& id, const HttpReply& reply) {
  const auto it = m_leases.find(ToNumber(id));
  if (it == m_leases.end()) {
    reply(JsonResponse(404));
    return;
  }
  const auto lifetime = it->second.m_lifetime;
  it->second.m_expires =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(lifetime);
  reply(JsonResponse(200, {{"TtlS_time", lifetime.count()}}));
}

void StoreStandin::RevokeLease(const std::string& id, const HttpReply& reply) {
  const uint64_t lease = ToNumber(id);
  if (!m_leases.contains(lease)) {
    reply(JsonResponse(404));
    return;
  }
  RemoveLease(lease);
  reply(JsonResponse(200));
}

void StoreStandin::RemoveLease(uint64_t lease) {
  m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++m_revision;
  for (const std::string& key : keys) {
    Remove(key);
  }
  WakeWatchers();
}

void StoreStandin::TakeCopy() {
  const auto now = Clock::now();
  if (!m_copies.empty() && now - m_copies.back().m_taken < kCopyInterval) {
    return;
  }
  m_copies.push_back({now, m_items, m_revision, m_leases, m_next_lease});
  while (now - m_copies.front().m_taken > kMaxCopyAge) {
    m_copies.pop_front();
  }
}

void StoreStandin::RestoreCopy(std::chrono::milliseconds min_age) {
  const auto now = Clock::now();
  while (!m_copies.empty() && now - m_copies.back().m_taken < min_age) {
    m_copies.pop_back();
  }
  if (m_copies.empty()) {
    return;
  }
  const Copy& copy = m_copies.back();
  m_items = copy.m_items;
  m_revision = copy.m_revision;
  m_leases = copy.m_leases;
  for (auto& [id, lease] : m_leases) {
    lease.m_expires =
        now + std::chrono::duration_cast<Clock::duration>(lease.m_lifetime);
  }
  m_next_lease = copy.m_next_lease;
  m_history.clear();
  m_compacted_revision = m_revision;
  ++m_era;
  std::vector<Watcher> watchers;
  watchers.swap(m_watchers);
  for (Watcher& watcher : watchers) {
    if (watcher.m_after_revision == m_revision) {
      m_watchers.push_back(std::move(watcher));
    } else {
      watcher.m_reply(JsonResponse(410));
    }
  }
}

void StoreStandin::OnTimer() {
  TakeCopy();
  const auto now = Clock::now();
  std::vector<uint64_t> expired;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_expires <= now) {
      expired.push_back(id);
    }
  }
  for (const uint64_t lease : expired) {
    RemoveLease(lease);
  }
  WakeWatchers();
}

void StoreStandin::ScheduleTimer() {
  m_timer.expires_after(kTimerInterval);
  m_timer.async_wait([this](std::error_code error) {
    if (!error) {
      OnTimer();
      ScheduleTimer();
    }
  });
}

void StoreStandin::SetFaults(const HttpRequest& request) {
  const json faults = json::parse(request.m_body, nullptr, false);
  const auto now = Clock::now();
  const auto in = [&](const char* name) {
    return std::chrono::milliseconds(faults.value(name, 0));
  };
  m_refuse_until = now + in("refuse_ms");
  m_silent_until = now + in("silent_ms");
  m_delay = in("delay_ms");
  m_apply_delay = in("late_ms");
  m_responses_to_drop = faults.value("lose_answers", 0);
  if (faults.value("forget_history", false)) {
    m_history.clear();
    m_compacted_revision = m_revision;
  }
}

std::string StoreStandin::Stats() const {
  return json{{"calls", m_calls},
              {"watchers", m_watchers.size()},
              {"most_watchers", m_peak_watchers}}
      .dump();
}

}  // namespace sorrelplank
