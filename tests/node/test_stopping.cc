#include "host_fixture.h"

using namespace limpetlever;

namespace {

/** Time that the servers need for a request; longer than the grace time of a host. */
constexpr duration kLongRun = std::chrono::seconds(20);

host_fixture::behaviour_map SlowServers(duration delay) {
  return {{"s1", {.delay = delay}}, {"s2", {.delay = delay}}};
}

}  // namespace

// Guards against a request that comes late in the grace time, is passed on and then cut without an
// answer; some of them may not be repeated.
Test(stopping, a_request_that_cannot_be_answered_in_time_is_refused) {
  host_fixture fixture(SlowServers(kLongRun));
  fixture.WaitUntilReady();
  kill(getpid(), SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  cr_assert(fixture.SendRequest("POST", "/p/1", "late-1", "body").status == 503);
  cr_assert(fixture.SendRequest("GET", "/i/1", "late-2").status == 503);
  cr_assert(fixture.RunCount("late-1") == 0 && fixture.RunCount("late-2") == 0);
  // A request whose deadline is before the stop is served.
  const answer served = fixture.SendRequest("GET", "/q/1", "in-time", {}, 2000);
  cr_assert(served.status == 200);
}

// Guards against a request in progress that is cut without an answer at the end of the grace time.
Test(stopping, a_request_that_is_still_running_at_the_end_is_answered) {
  host_fixture fixture(SlowServers(kLongRun));
  fixture.WaitUntilReady();
  answer response;
  std::thread caller([&] { response = fixture.SendRequest("POST", "/p/1", "id-1", "body"); });
  while (fixture.RunCount("id-1") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  kill(getpid(), SIGTERM);
  caller.join();
  cr_assert(response.status == 504, "status %d", response.status);
  fixture.WaitUntilStopped();
}
