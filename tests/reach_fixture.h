/// @file reach_fixture.h Fixture: an entry VM that can lose all its servers.

#ifndef SORRELPLANK_TESTS_REACH_FIXTURE_H_
#define SORRELPLANK_TESTS_REACH_FIXTURE_H_

#include <string>

#include "tests/steering_fixture.h"

namespace sorrelplank {

/// Four servers in three failure domains, and a fleet of five VMs.
struct ReachFixture : SteeringFixture {
  ReachFixture() {
    PutServer("c", "d3");
    PutServer("d", "d3");
    m_steering.SetFleet({{"vm-1", "10.0.0.1:80", "d1", "r1"},
                         {"vm-2", "10.0.0.2:80", "d1", "r1"},
                         {"vm-3", "10.0.0.3:80", "d2", "r1"},
                         {"vm-4", "10.0.0.4:80", "d3", "r2"},
                         {"vm-5", "10.0.0.5:80", "d3", "r2"}},
                        m_now);
    Pass(milliseconds(200));
  }

  /// Ends a request's sends one after the other until the request has ended.
  void SendAndEnd(AttemptEnd end, bool is_new_connection) {
    const size_t before = Count<SendToServer>();
    Arrive("/read/x", m_next);
    AttemptReport report;
    report.m_end = end;
    report.m_is_new_connection = is_new_connection;
    while (Count<SendToServer>() > before && m_steering.Running() > 0) {
      const SendToServer send = *Last<SendToServer>();
      m_steering.Ended(send.m_request, send.m_attempt, report, m_now);
    }
  }

  /// Ends all probes that were started; returns how many.
  size_t EndProbes(bool is_reached) {
    const size_t started = Count<ProbeServerReach>() - m_ended_probes;
    m_ended_probes += started;
    for (size_t probe = 0; probe < started; ++probe) {
      m_steering.ReachProbed(is_reached, m_now);
    }
    return started;
  }

  void LoseServers() {
    SendAndEnd(AttemptEnd::kNotSent, true);
    SendAndEnd(AttemptEnd::kNotSent, true);
    Pass(milliseconds(20));
    EndProbes(false);
  }

  void EndAtPeer(PeerReport report) {
    const SendToPeer send = *Last<SendToPeer>();
    m_steering.PeerEnded(send.m_request, send.m_attempt, report, m_now);
  }

  /// A request that another VM passed on.
  void ArriveFromPeer(const std::string& path, PassedOnTerms terms) {
    RequestFacts facts{RequestId(m_next++), "h", path, 1, seconds(5)};
    facts.m_passed_on = terms;
    m_steering.Arrived(std::move(facts), m_now);
  }

  size_t m_ended_probes = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TESTS_REACH_FIXTURE_H_
