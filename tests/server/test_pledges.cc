#include <criterion/criterion.h>

#include <thread>

#include "server/submission_service.h"
#include "server/test_cluster.h"

using namespace limpetlever;

namespace {

// Below 200 ms, after which a connection without progress may be treated as silent.
constexpr int kRunTimeUs = 150'000;

/** Waits until the first run of a key has started; the callers' threads then wait for its end. */
void WaitForRun(test_cluster& cluster, const std::string& key) {
  cluster.WaitFor("the run of a submission", [&] { return cluster.CountRuns(key) > 0; });
}

}  // namespace

// Guards against a second run of a submission that is resent to other hosts while it runs.
Test(pledges, a_resend_to_another_host_joins_the_run) {
  test_cluster cluster;
  for (backend_server* server : cluster.FindBackends("p")) {
    cluster.ChangeSettings(
        *server, [](backend_settings& settings) { settings.service_time_us = kRunTimeUs; });
  }
  for (int i = 0; i < 3; ++i) {
    const std::string key = "joined-" + std::to_string(i);
    test_answer first;
    std::thread caller([&] { first = cluster.Submit(i, key); });
    WaitForRun(cluster, key);
    const test_answer second = cluster.Submit((i + 1) % 3, key);
    const test_answer third = cluster.Submit((i + 2) % 3, key);
    caller.join();
    cr_assert(first.verdict == "ran", "%s", first.text.c_str());
    cr_assert(second.verdict == "ran" && second.body == first.body, "%s", second.text.c_str());
    cr_assert(third.verdict == "ran" && third.body == first.body, "%s", third.text.c_str());
    cr_assert(cluster.CountRuns(key) == 1);
  }
}

// Guards against a second run, and against a wrong "not run", when the host that runs a submission
// stops and the caller resends it to the other hosts.
Test(pledges, a_resend_after_the_host_ended_runs_at_most_once) {
  test_cluster cluster({.hosts = 5});
  for (backend_server* server : cluster.FindBackends("p")) {
    cluster.ChangeSettings(
        *server, [](backend_settings& settings) { settings.service_time_us = kRunTimeUs; });
  }
  for (int round = 0; round < 2; ++round) {
    const std::string key = "ended-" + std::to_string(round);
    const int asked = cluster.hosts().back();
    test_answer first;
    std::thread caller([&] {
      // A new host may not know the backend servers yet; a caller may resend after "not run".
      do {
        first = cluster.Submit(asked, key);
      } while (first.verdict == "not_run" && cluster.CountRuns(key) == 0);
    });
    WaitForRun(cluster, key);
    int running = -1;
    for (const int index : cluster.hosts()) {
      running = cluster.host(index).submissions().pending() > 0 && (running < 0 || index != asked)
                    ? index
                    : running;
    }
    cr_assert(running >= 0);
    cluster.StopHost(running);
    caller.join();
    cr_assert(first.verdict != "not_run", "%s", first.text.c_str());
    for (const int index : cluster.hosts()) {
      const test_answer again = cluster.Submit(index, key);
      cr_assert(again.verdict == "ran" || again.verdict == "may_have_run", "%s",
                again.text.c_str());
      cr_assert(cluster.CountRuns(key) == 1);
    }
    cluster.WaitUntilServing();
  }
}
