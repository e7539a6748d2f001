/// @file peer_picker.h Picks the entry VM that sends a request on.

#ifndef SORRELPLANK_STEER_PEER_PICKER_H_
#define SORRELPLANK_STEER_PEER_PICKER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "steer/fleet_member_type.h"

namespace sorrelplank {

struct SteeringSettings;

/// Picks the entry VMs that requests are passed on to while this VM reaches no
/// backend server. The nearest VM with the fewest of these requests in flight
/// is picked, so that those of a whole failure domain spread over the others.
class PeerPicker {
 public:
  using Filter = std::function<bool(const FleetMember&)>;

  explicit PeerPicker(const SteeringSettings& settings)
      : m_settings(settings) {}

  /// The VM to pass a request on to; nullptr if none of the allowed ones is
  /// known to be available.
  const FleetMember* Pick(const std::vector<FleetMember>& fleet,
                          const Filter& is_allowed,
                          TimePoint now) const;

  void CountSend(const std::string& vm, TimePoint now);
  /// Counts the end of a send. A VM that was not available is not picked for
  /// some time.
  void CountEnd(const std::string& vm, bool was_available, TimePoint now);

 private:
  struct Peer {
    size_t m_in_flight = 0;
    /// Among VMs that are otherwise alike, the one unused for longest is
    /// picked.
    TimePoint m_last_sent{};
    TimePoint m_avoid_until{};
  };

  /// Requests in flight that the distance to the VM counts for.
  size_t DistanceCost(const FleetMember& member) const;

  const SteeringSettings& m_settings;
  /// By VM; VMs that have left the fleet stay, one entry each.
  std::map<std::string, Peer> m_peers;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_PEER_PICKER_H_
