#include "host_fixture.h"

using namespace limpetlever;

namespace {

constexpr std::chrono::seconds kPause(5);

// More than the connections to both servers of the service.
constexpr int kManyRequests = 40;

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

// Guards against requests that are answered 503 after a freeze, which says that they never run,
// and are sent to a server in the next moment: their connections become free by answers that
// arrived during the freeze.
Test(paused_host, a_request_that_was_refused_after_a_freeze_never_runs) {
  constexpr int kDeadlineMs = 1500;
  constexpr std::chrono::milliseconds kWork(600);
  host_fixture fixture({{"s1", {.delay = kWork}}, {"s2", {.delay = kWork}}});
  fixture.WaitUntilReady();
  std::vector<int> statuses(kManyRequests);
  std::vector<std::thread> callers;
  for (int i = 0; i < kManyRequests; ++i) {
    callers.emplace_back([&fixture, &statuses, i] {
      const std::string id = "id-" + std::to_string(i);
      statuses[static_cast<std::size_t>(i)] =
          fixture.SendRequest("POST", "/p/" + std::to_string(i), id, "body", kDeadlineMs).status;
    });
  }
  std::this_thread::sleep_for(kWork / 2);
  fixture.FreezeHost(std::chrono::milliseconds(2 * kDeadlineMs));
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(2 * kWork);
  int refused = 0;
  for (int i = 0; i < kManyRequests; ++i) {
    const bool is_refused = statuses[static_cast<std::size_t>(i)] == 503;
    refused += is_refused ? 1 : 0;
    cr_assert(!is_refused || fixture.RunCount("id-" + std::to_string(i)) == 0,
              "request %d was answered 503 and ran", i);
  }
  cr_assert(refused > 0);
}

// Guards against callers that are told 504 although their answers had arrived: after a freeze the
// timers of their requests must not run before the answers are read.
Test(paused_host, answers_that_arrived_during_a_freeze_are_delivered) {
  constexpr int kRequests = 12;
  constexpr int kDeadlineMs = 1500;
  constexpr std::chrono::milliseconds kWork(600);
  host_fixture fixture({{"s1", {.delay = kWork}}, {"s2", {.delay = kWork}}});
  fixture.WaitUntilReady();
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&fixture, &served, i] {
      const std::string id = "id-" + std::to_string(i);
      const answer response =
          fixture.SendRequest("POST", "/p/" + std::to_string(i), id, "body", kDeadlineMs);
      served += response.status == 200 ? 1 : 0;
    });
  }
  while (fixture.ServedCount("s1") + fixture.ServedCount("s2") < kRequests) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  fixture.FreezeHost(std::chrono::milliseconds(2 * kDeadlineMs));
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(served == kRequests, "%d of %d", served.load(), kRequests);
}
