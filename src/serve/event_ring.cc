/// @file event_ring.cc Stores and filters timeline events.

#include "serve/event_ring.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/hybrid_clock.h"

namespace sorrelplank {

namespace {

bool Matches(const std::map<std::string, std::string>& filters,
             const std::string& filter,
             const std::string& value) {
  const auto it = filters.find(filter);
  return it == filters.end() || it->second.empty() || it->second == value;
}

bool MatchesAll(const std::map<std::string, std::string>& filters,
                const TimelineEvent& event) {
  return Matches(filters, "service", event.m_service) &&
         Matches(filters, "place", event.m_place) &&
         Matches(filters, "request", event.m_request) &&
         Matches(filters, "kind", TimelineKindName(event.m_kind));
}

}  // namespace

void EventRing::Add(uint64_t stamp, TimelineEvent event) {
  m_entries.push_back({stamp, std::move(event)});
  if (m_entries.size() > m_limit) {
    m_entries.pop_front();
  }
}

std::string EventRing::ToJson(
    const std::string& vm,
    const std::map<std::string, std::string>& filters) const {
  nlohmann::json list = nlohmann::json::array();
  for (const Entry& entry : m_entries) {
    const TimelineEvent& event = entry.m_event;
    if (!MatchesAll(filters, event)) {
      continue;
    }
    list.push_back({{"stamp", entry.m_stamp},
                    {"unix_us", HybridClock::Wall(entry.m_stamp).count()},
                    {"vm", vm},
                    {"kind", TimelineKindName(event.m_kind)},
                    {"service", event.m_service},
                    {"place", event.m_place},
                    {"request", event.m_request},
                    {"detail", event.m_detail}});
  }
  return list.dump();
}

}  // namespace sorrelplank
