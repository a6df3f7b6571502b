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

// Guards against requests that are cut off without an answer while a host stops under load: new and
// kept connections are used until the process is gone.
Test(stopping, no_accepted_request_is_cut_off_under_load) {
  constexpr int kCallers = 24;
  host_fixture fixture(SlowServers(std::chrono::milliseconds(20)));
  fixture.WaitUntilReady();
  std::atomic<bool> is_gone = false;
  std::atomic<int> answered = 0;
  std::atomic<int> cut_off = 0;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      Poco::Net::HTTPClientSession session(fixture.settings().caller_address.ip,
                                           fixture.settings().caller_address.port);
      session.setKeepAlive(caller % 2 == 0);
      for (int i = 0; !is_gone; ++i) {
        Poco::Net::HTTPRequest request("GET", "/i/1", "HTTP/1.1");
        request.setHost("h.example");
        request.setKeepAlive(caller % 2 == 0);
        request.set("Attempt-Id", std::to_string(caller) + "-" + std::to_string(i));
        request.set("Deadline-Ms", "4000");
        std::chrono::steady_clock::time_point sent;
        try {
          session.sendRequest(request).flush();
          session.flushRequest();
          sent = std::chrono::steady_clock::now();
          Poco::Net::HTTPResponse response;
          std::string body;
          Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
          ++answered;
        } catch (const Poco::Exception&) {
          // A request that crosses the close of its connection does not count.
          const bool was_sent = sent != std::chrono::steady_clock::time_point();
          const auto waited = std::chrono::steady_clock::now() - sent;
          cut_off += was_sent && waited > std::chrono::milliseconds(200) ? 1 : 0;
          session.reset();
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  kill(getpid(), SIGTERM);
  fixture.WaitUntilStopped();
  is_gone = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(answered > 100, "%d", answered.load());
  cr_assert(cut_off == 0, "%d of %d", cut_off.load(), answered.load());
}
