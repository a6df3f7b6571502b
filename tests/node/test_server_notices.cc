#include "host_fixture.h"

using namespace limpetlever;

namespace {

constexpr int kManyRefusals = 1000;

}  // namespace

// Guards against new requests to a server whose answers say that it is leaving, while its entry
// still says that it is ready.
Test(server_notices, a_leaving_server_gets_one_request_of_a_host) {
  host_fixture fixture({{"s1", {.is_leaving = true}}});
  fixture.WaitUntilReady();
  for (int i = 0; fixture.ServedCount("s1") == 0; ++i) {
    fixture.SendRequest("GET", "/i/1", "before-" + std::to_string(i));
  }
  fixture.RegisterServer("s1");
  for (int i = 0; i < 30; ++i) {
    cr_assert(fixture.SendRequest("GET", "/i/1", "after-" + std::to_string(i)).status == 200);
  }
  cr_assert(fixture.ServedCount("s1") == 1, "%d", fixture.ServedCount("s1"));
}

// Guards against requests to a server that leaves, after an entry of the process that had its id
// before was written late.
Test(server_notices, an_entry_of_an_earlier_process_does_not_undo_that_a_server_leaves) {
  host_fixture fixture({{"s1", {.is_leaving = true}}});
  fixture.WaitUntilReady();
  for (int i = 0; fixture.ServedCount("s1") == 0; ++i) {
    fixture.SendRequest("GET", "/i/1", "before-" + std::to_string(i));
  }
  std::string entry = fixture.EntryOf("s1");
  entry.replace(entry.find("\"born\":1"), 8, "\"born\":0");
  fixture.WriteToStore("servers/s1", entry);
  // Longer than a change of the store takes to arrive.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int i = 0; i < 30; ++i) {
    cr_assert(fixture.SendRequest("GET", "/i/1", "after-" + std::to_string(i)).status == 200);
  }
  cr_assert(fixture.ServedCount("s1") == 1, "%d", fixture.ServedCount("s1"));
}

// Guards against requests to a server within the pause that it has asked for, and against a server
// that gets none after it.
Test(server_notices, a_pause_is_kept_and_ends) {
  host_fixture fixture({{"s1", {.refusals = 1, .retry_after = "1.5"}}});
  fixture.WaitUntilReady();
  for (int i = 0; fixture.RefusalCount("s1") == 0; ++i) {
    cr_assert(fixture.SendRequest("GET", "/i/1", "before-" + std::to_string(i)).status == 200);
  }
  const int before = fixture.ServedCount("s1");
  const auto asked_at = std::chrono::steady_clock::now();
  int in_pause = 0;
  while (std::chrono::steady_clock::now() - asked_at < std::chrono::milliseconds(1300)) {
    cr_assert(fixture.SendRequest("GET", "/i/1", "during-" + std::to_string(in_pause++)).status ==
              200);
  }
  cr_assert(fixture.ServedCount("s1") == before, "%d requests in the pause",
            fixture.ServedCount("s1") - before);
  for (int i = 0; fixture.ServedCount("s1") == before; ++i) {
    fixture.SendRequest("GET", "/i/1", "after-" + std::to_string(i));
  }
}

// Guards against a caller that waits until its deadline, or is told to come back at once, while all
// servers want a pause.
Test(server_notices, a_request_is_rejected_at_once_while_all_servers_pause) {
  const server_behaviour busy{.refusals = kManyRefusals, .retry_after = "3"};
  host_fixture fixture({{"s1", busy}, {"s2", busy}});
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/i/1", "id-1").status == 503);
  const auto asked_at = std::chrono::steady_clock::now();
  const answer rejected = fixture.SendRequest("GET", "/i/1", "id-2");
  cr_assert(std::chrono::steady_clock::now() - asked_at < std::chrono::seconds(2));
  cr_assert(rejected.status == 503);
  const double retry_after = std::stod(rejected.fields.at("Retry-After"));
  cr_assert(retry_after > 1.0 && retry_after < 5.0, "%.3f", retry_after);
  cr_assert(fixture.RefusalCount("s1") == 1 && fixture.RefusalCount("s2") == 1);
}

// Guards against a second copy of a refusal that is taken for the answer to the same request, which
// was sent to the server again: the request has run, and its caller would be told that it has not.
Test(server_notices, a_late_copy_of_a_refusal_answers_no_other_attempt) {
  host_fixture fixture({{"s1", {.repeats_refusals = true}}, {"s2", {.refusals = kManyRefusals}}});
  fixture.WaitUntilReady();
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "id-" + std::to_string(i);
    const answer response = fixture.SendRequest("POST", "/p/1", id, "body");
    const int runs = fixture.RunCount(id);
    cr_assert(runs == (response.status == 200 ? 1 : 0), "%s: status %d, run %d times", id.c_str(),
              response.status, runs);
    served += runs;
  }
  cr_assert(served > 0);
}

// Guards against a caller that is told that its request has not run, by the status of a server that
// has run it.
Test(server_notices, a_503_of_a_server_that_ran_the_request_is_no_refusal) {
  const server_behaviour denies{.denies_runs = true};
  host_fixture fixture({{"s1", denies}, {"s2", denies}});
  fixture.WaitUntilReady();
  const answer response = fixture.SendRequest("POST", "/p/1", "id-1", "body");
  cr_assert(fixture.RunCount("id-1") == 1);
  cr_assert(response.status == 502, "status %d", response.status);
}
