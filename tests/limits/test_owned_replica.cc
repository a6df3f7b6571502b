#include <criterion/criterion.h>

#include <map>

#include "base/errc.h"
#include "base/random_source.h"
#include "limits/owned_replica.h"

using namespace limpetlever;
using std::chrono::milliseconds;

namespace {

attempt_request Attempt(std::uint64_t id, bool urgent = false, duration limit = milliseconds(500)) {
  return {.id = {id, 0, 0}, .time_limit = limit, .urgent = urgent, .fingerprint = id};
}

}  // namespace

// Guards against a new owner that starts more than one attempt on a server that may be cold, and
// against attempts that start while the server is draining.
Test(owned_replica, starts_with_one_and_refuses_all_while_draining) {
  owned_replica owner("a", 2);
  instant now{};
  cr_assert(owner.Offer(Attempt(1), now).start.size() == 1);
  cr_assert(owner.Offer(Attempt(2), now).start.empty());
  cr_assert(owner.cold());
  const auto drained = owner.Drain();
  cr_assert(drained.refuse.size() == 1 && drained.refuse[0].outcome.state == run_state::not_run);
  cr_assert(owner.Offer(Attempt(3), now).refuse.size() == 1);
  cr_assert(owner.OnFinished({1, 0, 0}, Ran(), milliseconds(5), now).start.empty());
  owner.Resume(now);
  cr_assert(owner.Offer(Attempt(4), now).start.size() == 1);
}

// Guards against missing a request that was in flight when the server crashed, whether the lost
// connection or the new instance is seen first, and against suspecting one without a new instance.
Test(owned_replica, suspects_are_those_in_flight_at_the_crash) {
  owned_replica owner("a", 2);
  instant now{milliseconds(1000)};
  owner.OnInstanceId("one", now);
  owner.Offer(Attempt(1), now);
  owner.OnFinished({1, 0, 0}, MayHaveRun(errc::connection_lost), milliseconds(1), now);
  cr_assert(owner.TakeCrashSuspects().empty());
  owner.OnInstanceId("two", now);
  cr_assert(owner.TakeCrashSuspects() == std::vector<std::uint64_t>{1});
  owner.Offer(Attempt(2), now);
  now += milliseconds(10);
  owner.OnInstanceId("three", now);
  owner.OnFinished({2, 0, 0}, MayHaveRun(errc::connection_lost), milliseconds(10), now);
  cr_assert(owner.TakeCrashSuspects() == std::vector<std::uint64_t>{2});
  owner.OnInstanceId("two", now);  // a stale status
  cr_assert(owner.TakeCrashSuspects().empty());
}

// Guards against exceeding the slots or a reduced limit, against starting and refusing the same
// attempt, and against losing an attempt, over 400 seeds with combined and repeated faults.
Test(owned_replica, invariants_hold_under_combined_faults) {
  for (unsigned seed = 0; seed < 400; ++seed) {
    random_source random(seed);
    int slots = 1 + static_cast<int>(random.Below(6));
    owned_replica owner("a", slots);
    enum class attempt_progress { waiting, started, ended };
    std::map<attempt_id, attempt_progress> progress_by_id;
    std::map<attempt_id, instant> running;
    instant now{};
    int instance = 0;
    std::uint64_t next = 0;
    const auto apply = [&](const replica_decision& decision) {
      for (const attempt_request& attempt : decision.start) {
        cr_assert(progress_by_id.at(attempt.id) == attempt_progress::waiting,
                  "seed %u: started twice", seed);
        cr_assert(attempt.time_limit > duration::zero(), "seed %u: started expired", seed);
        progress_by_id[attempt.id] = attempt_progress::started;
        running[attempt.id] = now;
      }
      for (const refused_attempt& refused : decision.refuse) {
        cr_assert(progress_by_id.at(refused.attempt.id) == attempt_progress::waiting,
                  "seed %u: refused", seed);
        cr_assert(refused.outcome.state == run_state::not_run);
        progress_by_id[refused.attempt.id] = attempt_progress::ended;
      }
      // More attempts than a limit that was just reduced may be running, but then none is started.
      cr_assert(decision.start.empty() || static_cast<int>(running.size()) <= owner.limit(),
                "seed %u: limit exceeded", seed);
      cr_assert(owner.limit() >= 1 && owner.limit() <= slots, "seed %u: limit", seed);
    };
    for (int step = 0; step < 1500; ++step) {
      const std::uint64_t choice = random.Below(1000);
      now += duration(random.Below(4000));
      if (choice < 450) {
        const attempt_id id{++next, 0, 0};
        progress_by_id[id] = attempt_progress::waiting;
        apply(owner.Offer(Attempt(next, random.Below(3) == 0, milliseconds(20 + random.Below(300))),
                          now));
      } else if (choice < 900 && !running.empty()) {
        auto one = running.begin();
        std::advance(one, static_cast<long>(random.Below(running.size())));
        const attempt_id id = one->first;
        const duration elapsed = now - one->second;
        running.erase(one);
        progress_by_id[id] = attempt_progress::ended;
        const std::uint64_t end = random.Below(20);
        const verdict outcome = end == 0   ? NotRun(errc::shed)
                                : end == 1 ? MayHaveRun(errc::connection_lost)
                                : end == 2 ? MayHaveRun(errc::deadline_exceeded)
                                           : Ran();
        apply(owner.OnFinished(id, outcome, elapsed, now));
      } else if (choice < 920) {
        const attempt_id id{1 + random.Below(next + 1), 0, 0};
        if (owner.Cancel(id)) {
          cr_assert(progress_by_id.at(id) == attempt_progress::waiting, "seed %u: cancelled", seed);
          progress_by_id[id] = attempt_progress::ended;
        }
      } else if (choice < 935) {
        owner.OnInstanceId(std::to_string(++instance), now);
        cr_assert(instance == 1 || owner.limit() == 1, "seed %u: restart", seed);
      } else if (choice < 950) {
        owner.OnConnectionReset(now);
        owner.OnConnectionReset(now);
        cr_assert(owner.limit() == 1, "seed %u: resets", seed);
      } else if (choice < 965) {
        slots = 1 + static_cast<int>(random.Below(6));
        owner.SetSlots(slots);
      } else if (choice < 975) {
        now += milliseconds(random.Below(10'000));
        apply(owner.RefuseLate(now));
      } else if (choice < 980) {
        apply(owner.Drain());
        cr_assert(owner.waiting() == 0);
      } else {
        owner.Resume(now);
      }
      cr_assert(owner.in_flight() == static_cast<int>(running.size()), "seed %u", seed);
    }
    std::size_t waiting = 0;
    for (const auto& [id, state] : progress_by_id) {
      waiting += state == attempt_progress::waiting ? 1 : 0;
    }
    cr_assert(waiting == owner.waiting(), "seed %u: %zu lost", seed, waiting - owner.waiting());
  }
}
