/// @file body_budget_test.cc Bound on the memory of open requests.

#include "proxy/body_budget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <list>
#include <utility>

namespace sorrelplank {
namespace {

constexpr size_t kSmallestVm = 160'000'000;

/// An accepted request, and the size of its response.
struct OpenExchange {
  int m_arrived;
  size_t m_response_bytes;
  BodyReservation m_request;
};

// Guards against running out of memory under bodies at the limit from hundreds
// of slow readers, against refusing small requests for them, and against bytes
// that stay counted. Steps of 100 ms; servers respond after a second, and
// clients read 1 KB/s.
Test(BodyBudget, LargeBodiesAndSlowReaders_SmallestVm_StayUnderTheBound) {
  for (const size_t response_bytes : {1'000, 20'000, 100'000}) {
    BodyBudget budget;
    budget.SetMemory(kSmallestVm);
    std::deque<OpenExchange> open;
    std::list<std::pair<size_t, BodyReservation>> unread;
    size_t served = 0;
    for (int step = 0; step < 300 || !open.empty() || !unread.empty(); ++step) {
      const int large = step == 0 ? 300 : 5;
      for (int client = 0; client <= large && step < 300; ++client) {
        const size_t body = client % 2 == 0 ? 360'000 : 1'000'000;
        auto held =
            budget.Reserve({200, client == large ? 2'000 : body}, open.size());
        cr_expect(held || client < large, "step %d", step);
        if (held) {
          open.push_back({step, client == large ? 1'000 : response_bytes,
                          std::move(*held)});
        }
      }
      size_t ended = 0;
      while (ended < open.size() && open[ended].m_arrived + 10 <= step) {
        unread.emplace_back(open[ended].m_response_bytes, budget.ForResponse());
        unread.back().second.Grow(unread.back().first);
        ++ended;
      }
      cr_expect_leq(budget.Held(), budget.Bound());
      for (; ended > 0; --ended, ++served) {
        budget.AddResponse(open.front().m_response_bytes);
        open.pop_front();
      }
      for (auto& [left, held] : unread) {
        left -= std::min<size_t>(left, 100);
      }
      std::erase_if(unread, [](const auto& one) { return one.first == 0; });
    }
    // Of 2,095 requests; over 200 of the first 300 do not fit.
    cr_expect(served > 700 && served < 1'900, "%zu", served);
    cr_expect_eq(budget.Held(), 0);
  }
}

// Guards against refusing the only body of an idle VM, against accepting one
// beyond the bound, and against small requests whose responses do not fit.
Test(BodyBudget, SingleBody_IdleVm_FitsUpToTheBound) {
  BodyBudget budget;
  cr_assert(budget.Reserve({200, 500'000'000}, 1'000).has_value());
  budget.SetMemory(kSmallestVm);
  cr_assert(budget.Reserve({200, 40'000'000}, 0).has_value());
  cr_assert_not(budget.Reserve({200, budget.Bound()}, 0).has_value());
  for (int response = 0; response < 100; ++response) {
    budget.AddResponse(1'000'000);
  }
  cr_assert(budget.Reserve({200, 0}, 40).has_value());
  cr_assert_not(budget.Reserve({200, 0}, 60).has_value());
}

// What can never fit must not end the bodies of others.
Test(BodyBudget, RequestExceedsTheBound_FitsAlone_IsFalse) {
  BodyBudget budget;
  cr_expect(budget.FitsAlone({.m_body_bytes = 64U << 20U}));
  budget.SetMemory(160'000'000);
  cr_expect_not(budget.FitsAlone({.m_body_bytes = 64U << 20U}));
  cr_expect(budget.FitsAlone({.m_body_bytes = 32U << 20U}));
}

}  // namespace
}  // namespace sorrelplank
