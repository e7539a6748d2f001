/// @file object_places.cc Objects a server, and when there are too many.

#include "steer/object_places.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Objects that were not asked for in one to two periods are not counted.
constexpr Duration kPeriod = seconds(20);
/// Objects a server above which it may no longer remember them all. Servers do
/// not say how many they remember; below this, places are not what makes work
/// slow.
constexpr double kManyObjects = 8;
/// Objects a server, with one step more places, at which the step is taken
/// back; the gap keeps the placement from swinging with the estimate.
constexpr double kFewObjects = 4;
/// For so long work must miss its target: at a start nothing is warm anywhere.
constexpr Duration kScarceFor = seconds(1);

Placement WithFewer(Placement placement) {
  return placement == Placement::kTwoARegion ? Placement::kOneARegion
                                             : Placement::kOneInAll;
}

Placement WithMore(Placement placement) {
  return placement == Placement::kOneInAll ? Placement::kOneARegion
                                           : Placement::kTwoARegion;
}

double PlacesOf(Placement placement, size_t regions) {
  switch (placement) {
    case Placement::kTwoARegion:
      return 2.0 * static_cast<double>(regions);
    case Placement::kOneARegion:
      return static_cast<double>(regions);
    case Placement::kOneInAll:
      return 1;
  }
  return 1;
}

}  // namespace

void ObjectPlaces::AddObject(uint64_t object, TimePoint now) {
  Age(now);
  m_own.Add(object);
  m_seen.Add(object);
}

void ObjectPlaces::Take(const ObjectSketch& seen,
                        Placement placement,
                        TimePoint now) {
  Age(now);
  m_seen.Merge(seen);
  if (!m_has_started) {
    // This VM has just started, and the others know the load. Placed in another
    // way, each object that it is asked for would meet a server that is not
    // warm.
    m_placement = std::max(m_placement, placement);
  }
}

void ObjectPlaces::Age(TimePoint now) {
  if (now - m_period_began < kPeriod) {
    return;
  }
  m_period_began = now;
  m_seen_before = m_seen;
  m_seen = ObjectSketch();
  m_own = ObjectSketch();
}

double ObjectPlaces::Objects() const {
  ObjectSketch both = m_seen;
  both.Merge(m_seen_before);
  return both.Estimate();
}

double ObjectPlaces::ObjectsAServer(Placement placement,
                                    const PlacesNeed& need) const {
  const double servers =
      static_cast<double>(std::max<size_t>(1, need.m_servers));
  return Objects() * PlacesOf(placement, need.m_regions) / servers;
}

void ObjectPlaces::Update(const PlacesNeed& need, TimePoint now) {
  const bool misses_target = need.m_usual_latency > need.m_target;
  const bool has_many = ObjectsAServer(m_placement, need) > kManyObjects;
  if (!misses_target || !has_many) {
    m_scarce_since.reset();
  } else if (!m_scarce_since) {
    m_scarce_since = now;
  } else if (now - *m_scarce_since >= kScarceFor) {
    m_placement = WithFewer(m_placement);
    m_scarce_since.reset();
    return;
  }
  const Placement more = WithMore(m_placement);
  if (more != m_placement && ObjectsAServer(more, need) < kFewObjects) {
    m_placement = more;
  }
}

}  // namespace sorrelplank
