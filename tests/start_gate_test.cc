/// @file start_gate_test.cc The clients' port of a VM that has just started.

#include <criterion/criterion.h>

#include "steer/start_gate.h"

namespace sorrelplank {
namespace {

constexpr TimePoint kStart{seconds(100)};

TestSuite(StartGate);

// A normal start: the table is read within a quarter of a second. The port is
// never closed, and requests that arrive meanwhile are held.
Test(StartGate, TableReadInTime_Start_PortStaysOpen) {
  StartGate gate(kStart);
  cr_assert(gate.Update(false, kStart + milliseconds(250)) ==
            StartGate::Step::kNone);
  cr_assert(gate.Update(true, kStart + milliseconds(300)) ==
            StartGate::Step::kNone);
  cr_assert(gate.IsOpen());
}

// The VM starts while the store is unavailable. With an open port its clients
// would be refused for as long as that lasts, and would retry there. It closes
// the port once no requests are held any more, and opens it when it has read
// the table.
Test(StartGate, StoreUnavailableAtStart_UntilTableIsRead_PortIsClosed) {
  StartGate gate(kStart);
  cr_assert(gate.Update(false, kStart + kMaxHoldTime) ==
            StartGate::Step::kClose);
  cr_assert(gate.Update(false, kStart + seconds(5)) == StartGate::Step::kNone);
  cr_assert_not(gate.IsOpen());
  cr_assert(gate.Update(true, kStart + seconds(6)) == StartGate::Step::kOpen);
  cr_assert(gate.Update(true, kStart + seconds(7)) == StartGate::Step::kNone);
}

}  // namespace
}  // namespace sorrelplank
