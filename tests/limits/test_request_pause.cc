#include <criterion/criterion.h>

#include "limits/request_pause.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start{seconds(100)};

}  // namespace

// Guards against a pause that is cut short by a shorter wish or by an answer from before it.
Test(request_pause, the_longest_wish_holds) {
  request_pause pause;
  cr_assert(pause.NextSend(start) == start && !pause.IsActive());
  pause.OnAsked(seconds(10), start, 0.0);
  pause.OnAsked(seconds(1), start + seconds(1), 0.0);
  pause.OnNotAsked(start + seconds(2));
  cr_assert(pause.NextSend(start + seconds(3)) == start + seconds(10));
  pause.OnAsked(seconds(10), start + seconds(3), 0.0);
  cr_assert(pause.NextSend(start + seconds(3)) == start + seconds(13));
}

// Guards against wishes that exclude a server for good, or that overflow.
Test(request_pause, odd_wishes_are_bounded) {
  request_pause pause;
  pause.OnAsked(duration::zero(), start, 0.5);
  pause.OnAsked(seconds(-5), start, 0.5);
  cr_assert(!pause.IsActive());
  pause.OnAsked(duration::max(), start, 7.0);
  cr_assert(pause.NextSend(start) <= start + request_pause::kMaxPause + seconds(2));
}

// Guards against a host that sends its full load at the end of a pause, and against one that never
// returns since the answer to its first request was lost.
Test(request_pause, one_request_at_a_time_finds_the_end) {
  request_pause pause;
  pause.OnAsked(seconds(2), start, 0.0);
  const instant end = start + seconds(2);
  cr_assert(pause.IsPausing(end - milliseconds(1)) && !pause.IsPausing(end));
  cr_assert(pause.NextSend(end) == end);
  pause.OnSent(end);
  cr_assert(pause.NextSend(end + milliseconds(10)) == end + seconds(1));
  pause.OnSent(end + seconds(1));
  cr_assert(pause.NextSend(end + seconds(1)) == end + seconds(2));
  pause.OnNotAsked(end + seconds(1));
  cr_assert(!pause.IsActive());
}

// Guards against hosts that were asked at the same moment and return at the same moment.
Test(request_pause, hosts_return_one_after_another) {
  request_pause first;
  request_pause last;
  first.OnAsked(seconds(5), start, 0.0);
  last.OnAsked(seconds(5), start, 1.0);
  cr_assert(first.NextSend(start) == start + seconds(5));
  cr_assert(last.NextSend(start) == start + seconds(6));
}
