/// @file object_places.h On how many servers the objects of a service are
/// placed.

#ifndef SORRELPLANK_STEER_OBJECT_PLACES_H_
#define SORRELPLANK_STEER_OBJECT_PLACES_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time_type.h"
#include "steer/object_sketch.h"

namespace sorrelplank {

/// Where an object's requests may go, from most to fewest servers.
enum class Placement : uint8_t {
  kTwoARegion,  ///< Two servers in each region that has callers.
  kOneARegion,  ///< One server there.
  kOneInAll,    ///< One server over all regions.
};

/// What a service is like at the moment.
struct PlacesNeed {
  size_t m_servers = 0;
  /// Regions that have servers.
  size_t m_regions = 0;
  /// Usual time of a request; zero while unknown.
  Duration m_usual_latency{};
  Duration m_target{};
};

/// Counts a service's objects and decides on their placement.
///
/// Load pattern: servers are fast on the last objects that they handled, and a
/// small fleet has far more objects than its servers remember. With six places
/// for each object, a server handles so many objects in turn that none is ever
/// warm when it comes back, work takes four times as long, and the fleet is
/// overloaded by a load that it could carry. Fewer places an object bring them
/// back sooner. Where servers have few objects each, more places keep callers
/// near and share the work.
class ObjectPlaces {
 public:
  void AddObject(uint64_t object, TimePoint now);
  /// What another VM saw, and how it places objects.
  void Take(const ObjectSketch& seen, Placement placement, TimePoint now);
  /// What this VM saw itself lately.
  const ObjectSketch& Own() const { return m_own; }

  void Update(const PlacesNeed& need, TimePoint now);
  /// The service's first request: other VMs' placement is no longer taken over.
  void Start() { m_has_started = true; }

  Placement Get() const { return m_placement; }
  /// Different objects that the VMs saw lately.
  double Objects() const;

 private:
  void Age(TimePoint now);
  /// Objects a server with a placement.
  double ObjectsAServer(Placement placement, const PlacesNeed& need) const;

  Placement m_placement = Placement::kTwoARegion;
  bool m_has_started = false;
  /// Of this VM, of all VMs, and of all VMs in the period before.
  ObjectSketch m_own;
  ObjectSketch m_seen;
  ObjectSketch m_seen_before;
  TimePoint m_period_began{};
  /// Since when work misses its target with more objects than servers keep.
  std::optional<TimePoint> m_scarce_since;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_OBJECT_PLACES_H_
