/// @file placement_fleet.h Entry VMs and servers that remember objects.

#ifndef SORRELPLANK_TESTS_PLACEMENT_FLEET_H_
#define SORRELPLANK_TESTS_PLACEMENT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "steer/steering.h"
#include "trial/event_queue.h"

namespace sorrelplank {

/// A fleet's size and load; one service, three regions.
struct PlacementShape {
  size_t m_vms_per_region = 3;
  size_t m_servers_per_region = 9;
  /// Objects that clients ask for, and that one server remembers.
  uint64_t m_objects = 300;
  size_t m_remembered = 20;
  double m_requests_per_second = 100;
  uint64_t m_seed = 1;
};

/// What came of the requests in a stretch of time.
struct PlacementCounts {
  uint64_t m_asked = 0;
  uint64_t m_answered = 0;
  uint64_t m_in_target = 0;
  uint64_t m_runs = 0;
  uint64_t m_warm_runs = 0;
  /// Largest part of one region's requests that ran in another region than in
  /// the 2 s before.
  double m_largest_shift = 0;

  double WarmPart() const;
  double InTargetPart() const;
};

/// Runs several `Steering` in virtual time on servers with slots, a queue and a
/// memory of the objects that they handled last.
class PlacementFleet {
 public:
  explicit PlacementFleet(PlacementShape shape);

  PlacementCounts RunFor(Duration time);
  /// Starts a VM anew: it knows nothing of the load.
  void Restart(size_t vm);
  size_t VmCount() const { return m_vms.size(); }

 private:
  struct Run {
    size_t m_vm = 0;
    uint64_t m_incarnation = 0;
    RequestId m_request;
    AttemptId m_attempt;
    uint64_t m_object = 0;
    TimePoint m_sent;
  };
  struct Server {
    std::string m_region;
    uint32_t m_running = 0;
    std::deque<Run> m_queue;
    /// The object handled last is the last one.
    std::deque<uint64_t> m_remembered;
  };
  struct Vm {
    std::string m_region;
    std::unique_ptr<Steering> m_steering;
    uint64_t m_incarnation = 0;
    std::map<RequestId, std::pair<TimePoint, uint64_t>> m_open;
  };

  void Start(size_t vm);
  void Act(size_t vm, const SteerAction& action);
  void Send(size_t vm, const SendToServer& send);
  void Begin(const std::string& name, Run run);
  void Finish(const std::string& name, const Run& run);
  void EndAttempt(const Run& run, AttemptEnd end, const Server& server);
  void Tick();
  void Tell();
  void AskNext();
  void CloseWindow();

  PlacementShape m_shape;
  trial::EventQueue m_queue;
  std::mt19937_64 m_random;
  std::map<std::string, Server> m_servers;
  std::vector<Vm> m_vms;
  uint64_t m_next_request = 1;
  PlacementCounts m_counts;
  /// Sends by region of the client and of the server, in this window of 2 s and
  /// the one before.
  std::map<std::string, std::map<std::string, double>> m_window;
  std::map<std::string, std::map<std::string, double>> m_window_before;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_PLACEMENT_FLEET_H_
