#include <criterion/criterion.h>

#include "membership/recent_maximum.h"

using namespace limpetlever;
using std::chrono::seconds;

// Guards against a host that is cut off, regards itself as the only one and uses the limits of the
// whole fleet, and against a share that stays small after the fleet has shrunk permanently.
Test(recent_maximum, a_smaller_count_applies_after_the_retention) {
  recent_maximum size(seconds(60));
  instant now{};
  cr_assert(size.Update(12, now) == 12);
  now += seconds(30);
  cr_assert(size.Update(1, now) == 12);
  cr_assert(size.Update(13, now) == 13);
  now += seconds(59);
  cr_assert(size.Update(2, now) == 13);
  now += seconds(2);
  cr_assert(size.Update(2, now) == 2);
}
