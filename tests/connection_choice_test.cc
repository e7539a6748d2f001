/// @file connection_choice_test.cc Which connection is closed for others.

#include "net/connection_choice_func.h"

#include <criterion/criterion.h>

#include <vector>

namespace sorrelplank {
namespace {

ConnectionStanding At(uint64_t id, int second) {
  return {.m_id = id, .m_since = TimePoint(seconds(second))};
}

// A newcomer was turned away while connections without progress stayed.
Test(ConnectionChoice, SeveralConnections_Stalest_IsChosen) {
  cr_expect_eq(ChooseStalest({At(1, 5), At(2, 3), At(3, 9)}).value_or(0), 2);
}

// A request that a server runs must not be cut off for a newcomer.
Test(ConnectionChoice, RequestIsServed_Connection_IsNeverChosen) {
  ConnectionStanding serving = At(1, 1);
  serving.m_is_serving = true;
  cr_expect_eq(ChooseStalest({serving, At(2, 3)}).value_or(0), 2);
  cr_expect_not(ChooseStalest({serving}).has_value());
  cr_expect_not(ChooseStalest({}).has_value());
}

// Heads that arrive without end were kept, and whole requests were closed.
Test(ConnectionChoice, HeadsArrive_OldestHead_IsChosen) {
  ConnectionStanding older = At(1, 2);
  older.m_head_bytes = 10;
  ConnectionStanding newer = At(2, 4);
  newer.m_head_bytes = 1000;
  cr_expect_eq(ChooseOldestHead({At(3, 1), newer, older}).value_or(0), 1);
  cr_expect_not(ChooseOldestHead({At(3, 1)}).has_value());
}

// A body that stopped short kept its memory from others for a minute.
Test(ConnectionChoice, BodiesStall_LongestPause_IsChosen) {
  std::vector<ConnectionStanding> connections = {At(1, 1), At(2, 5), At(3, 9)};
  const TimePoint now(seconds(10));
  cr_expect_not(ChooseStalledBody(connections, now).has_value());
  for (ConnectionStanding& connection : connections) {
    connection.m_is_body_arriving = true;
  }
  cr_expect_eq(ChooseStalledBody(connections, now).value_or(0), 1);
  cr_expect_eq(ChooseStalledBody({At(1, 1), connections[1]}, now).value_or(0),
               2);
  cr_expect_not(ChooseStalledBody({connections[2]}, now).has_value());
}

}  // namespace
}  // namespace sorrelplank
