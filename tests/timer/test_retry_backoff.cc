#include <criterion/criterion.h>

#include "base/random_source.h"
#include "timer/retry_backoff.h"

using namespace limpetlever;

// Guards against simultaneous retries of many hosts after an outage, and against unbounded backoff.
Test(retry_backoff, doubles_up_to_a_maximum_with_jitter) {
  random_source random(4);
  constexpr duration kInitialPause = std::chrono::milliseconds(100);
  constexpr duration kMaxPause = std::chrono::milliseconds(800);
  for (int round = 0; round < 100; ++round) {
    const duration first = RetryBackoff(1, kInitialPause, kMaxPause, random);
    cr_assert(first >= kInitialPause / 2 && first <= kInitialPause * 3 / 2);
    const duration third = RetryBackoff(3, kInitialPause, kMaxPause, random);
    cr_assert(third >= kInitialPause * 2 && third <= kInitialPause * 6);
    cr_assert(RetryBackoff(1000, kInitialPause, kMaxPause, random) <= kMaxPause * 3 / 2);
  }
  cr_assert(RetryBackoff(1, kInitialPause, kMaxPause, random) !=
            RetryBackoff(1, kInitialPause, kMaxPause, random));
}
