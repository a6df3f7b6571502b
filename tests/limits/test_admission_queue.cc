#include <criterion/criterion.h>

#include "base/errc.h"
#include "base/random_source.h"
#include "limits/admission_queue.h"

using namespace limpetlever;
using std::chrono::milliseconds;

namespace {

attempt_request Attempt(std::uint64_t id, bool urgent, duration limit = milliseconds(500)) {
  return {.id = {id, 0, 0}, .time_limit = limit, .urgent = urgent};
}

}  // namespace

// Guards against starvation of normal attempts while urgent ones fill the queue, over 200 seeds.
Test(admission_queue, every_fourth_slot_goes_to_the_oldest_normal_attempt) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    random_source random(seed);
    admission_queue queue(16);
    std::vector<refused_attempt> refused;
    instant now{};
    std::uint64_t next = 0;
    int urgent_in_a_row = 0;
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(random.Below(10));
      for (std::uint64_t more = 1 + random.Below(4); more > 0; --more) {
        queue.Push(Attempt(++next, more > 1), now, errc::replica_full, refused);
      }
      const auto taken = queue.Pop(now, {}, refused);
      cr_assert(taken && queue.size() <= 16, "seed %u", seed);
      urgent_in_a_row = taken->urgent ? urgent_in_a_row + 1 : 0;
      cr_assert(urgent_in_a_row <= 3, "seed %u: no normal attempt in four pops", seed);
    }
  }
}

// Guards against serving the attempts that are about to expire first under overload.
Test(admission_queue, is_newest_first_once_the_oldest_has_waited_over_100_ms) {
  admission_queue queue(8);
  std::vector<refused_attempt> refused;
  queue.Push(Attempt(1, false), instant(milliseconds(0)), errc::replica_full, refused);
  queue.Push(Attempt(2, false), instant(milliseconds(50)), errc::replica_full, refused);
  queue.Push(Attempt(3, false), instant(milliseconds(90)), errc::replica_full, refused);
  cr_assert(queue.Pop(instant(milliseconds(100)), {}, refused)->id.query == 1);
  cr_assert(queue.Pop(instant(milliseconds(151)), {}, refused)->id.query == 3);
  cr_assert(refused.empty());
}

// Guards against starting an attempt that cannot finish in time, and against a wrong remaining time
// limit.
Test(admission_queue, refuses_attempts_with_too_little_time_left) {
  admission_queue queue(8);
  std::vector<refused_attempt> refused;
  queue.Push(Attempt(1, false, milliseconds(50)), {}, errc::replica_full, refused);
  queue.Push(Attempt(2, false, milliseconds(90)), {}, errc::replica_full, refused);
  const auto taken = queue.Pop(instant(milliseconds(35)), milliseconds(20), refused);
  cr_assert(taken && taken->id.query == 2 && taken->time_limit == milliseconds(55));
  cr_assert(refused.size() == 1 && refused[0].attempt.id.query == 1);
  cr_assert(refused[0].outcome == NotRun(errc::deadline_exceeded));
}
