/// @file send_forecast_test.cc Prediction of a response's time.

#include "steer/send_forecast.h"

#include <criterion/criterion.h>

#include <deque>

#include "steer/work_estimate.h"

namespace sorrelplank {
namespace {

constexpr uint32_t kSlots = 6;
constexpr Duration kWork = milliseconds(650);
constexpr Duration kTimeout = milliseconds(2500);

SendConditions MakeConditions(double occupancy) {
  return {.m_occupancy = occupancy,
          .m_slots = kSlots,
          .m_slot_time = kWork,
          .m_cached_work = kWork};
}

bool CanFinish(const SendConditions& conditions, Duration left = kTimeout) {
  return SendForecast(conditions).CanFinish({left, kTimeout});
}

struct Tally {
  size_t m_answered = 0;
  size_t m_cut_off = 0;
};

/// A server with a queue of 18 gets three times what its slots can take for
/// 6 s.
Tally PlayBurst(bool asks_forecast) {
  struct Job {
    Duration m_deadline;
    Duration m_work_left;
  };
  constexpr Duration kStep = milliseconds(10);
  std::deque<Job> jobs;
  Tally tally;
  Duration next{};
  for (Duration now{}; now < seconds(9); now += kStep) {
    for (size_t slot = 0; slot < std::min<size_t>(kSlots, jobs.size());
         ++slot) {
      jobs[slot].m_work_left -= kStep;
    }
    tally.m_answered += std::erase_if(
        jobs, [](const Job& job) { return job.m_work_left <= Duration(); });
    tally.m_cut_off += std::erase_if(
        jobs, [now](const Job& job) { return job.m_deadline <= now; });
    if (now < next || now >= seconds(6)) {
      continue;
    }
    next += kWork / (3 * kSlots);
    const bool is_sent =
        !asks_forecast ||
        CanFinish(MakeConditions(static_cast<double>(jobs.size())));
    if (is_sent && jobs.size() < kSlots + 18) {
      jobs.push_back({now + kTimeout, kWork});
    }
  }
  return tally;
}

TestSuite(SendForecast);

// Guards against attempts that take a place in a full queue and are cancelled
// at the timeout.
Test(SendForecast, Burst_MoreRequestsThanSlots_NoneCutOffAsManyAnswered) {
  const Tally without = PlayBurst(false);
  const Tally with = PlayBurst(true);
  cr_assert_gt(without.m_cut_off, 10U, "%zu", without.m_cut_off);
  cr_assert_eq(with.m_cut_off, 0U, "%zu", with.m_cut_off);
  cr_assert_geq(with.m_answered, without.m_answered, "%zu, %zu",
                with.m_answered, without.m_answered);
}

// Guards against refusals by a forecast of one or two responses, after which
// nothing more would be learned.
Test(SendForecast, FewResponses_FullServer_IsAttempted) {
  WorkEstimate work;
  SendConditions conditions = MakeConditions(24);
  for (int response = 0; response < 2; ++response) {
    conditions.m_cached_work = work.Get();
    cr_assert(CanFinish(conditions));
    work.Add(kWork);
  }
  for (int response = 0; response < 8; ++response) {
    work.Add(kWork);
  }
  conditions.m_cached_work = work.Get();
  cr_assert_not(CanFinish(conditions));
}

// Guards against a service that is never served because it usually takes longer
// than its timeout.
Test(SendForecast, WorkOverTheTimeout_IdleServer_IsAttempted) {
  SendConditions conditions = MakeConditions(5);
  conditions.m_cached_work = seconds(3);
  cr_assert(CanFinish(conditions));
  conditions.m_occupancy = 7;
  cr_assert_not(CanFinish(conditions));
}

// Guards against objects that never become cached because a miss may exceed the
// timeout.
Test(SendForecast, MissOverTheTimeout_FreeSlot_IsAttempted) {
  SendConditions conditions = MakeConditions(5);
  conditions.m_is_cached = false;
  conditions.m_round_trip = seconds(1);
  cr_assert(CanFinish(conditions));
  conditions.m_occupancy = 6;
  cr_assert_not(CanFinish(conditions));
}

// Guards against a late retry that is cancelled halfway through its work.
Test(SendForecast, LessTimeLeftThanTheWork_IdleServer_IsNotAttempted) {
  cr_assert_not(CanFinish(MakeConditions(0), milliseconds(600)));
  cr_assert(CanFinish(MakeConditions(0), milliseconds(700)));
}

// Guards against estimates that follow the requests whose objects are not
// cached.
Test(WorkEstimate, MostObjectsNotCached_Estimate_IsNearCachedWork) {
  WorkEstimate work;
  for (int response = 0; response < 200; ++response) {
    work.Add(response % 5 < 2 ? kWork : kWork * 3);
  }
  cr_assert_lt(work.Get()->count(), (kWork * 3 / 2).count());
}

}  // namespace
}  // namespace sorrelplank
