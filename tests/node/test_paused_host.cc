#include "host_fixture.h"

using namespace limpetlever;

namespace {

constexpr std::chrono::seconds kPause(5);

}  // namespace

// Guards against a host that was paused and goes on sending to a data centre that operators have
// taken out meanwhile, before it has heard of that.
Test(paused_host, sends_nothing_before_it_knows_what_has_changed) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  // Longer than the pause after a change, so that the watch waits.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fixture.WriteUnnoticed("op/evacuate/dc-a", "");
  while (fixture.HasUnnoticedWrites()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  fixture.PauseHost(kPause);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "id-" + std::to_string(i);
    cr_assert(fixture.SendRequest("GET", "/i/1", id).status == 503);
    cr_assert(fixture.RunCount(id) == 0);
  }
}

// Guards against a host that does not serve again after a pause.
Test(paused_host, serves_again_once_it_is_up_to_date) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  fixture.PauseHost(kPause);
  const auto resumed_at = std::chrono::steady_clock::now();
  for (int i = 0; fixture.SendRequest("GET", "/i/1", "id-" + std::to_string(i)).status != 200;
       ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert(std::chrono::steady_clock::now() - resumed_at < std::chrono::seconds(2));
}

// Guards against a request that runs although its caller's time had run out while this host was
// paused.
Test(paused_host, does_not_run_a_request_that_waited_too_long) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fixture.PauseHost(kPause);
  constexpr int kDeadlineMs = 3000;
  cr_assert(fixture.SendRequest("POST", "/p/1", "id-1", "body", kDeadlineMs).status == 503);
  cr_assert(fixture.RunCount("id-1") == 0);
}
