#include <criterion/criterion.h>

#include <algorithm>

#include "server/query_load.h"
#include "server/test_cluster.h"

using namespace limpetlever;

// Guards against queries that fail while the key-value service is unavailable, and against an edit
// or a submission that is refused as "not run" but runs.
Test(store_failures, an_outage_refuses_edits_and_pledges_and_no_queries) {
  test_cluster cluster;
  query_load load(cluster, query_load::AllHosts(cluster));
  load.WaitForComplete(50);
  load.Reset();
  cluster.store().set_faults({.outage = true});
  // Longer than a view lease of 2.5 s with its margin, so that the leases in use at the end have
  // been renewed by the attestations of other hosts, not by the key-value service.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  std::vector<std::string> refused;
  for (int i = 0; std::chrono::steady_clock::now() < end || i < 6; ++i) {
    const std::string key = "refused-" + std::to_string(i);
    const test_answer answer = cluster.Submit(i % 3, key);
    cr_assert(answer.status == 503 && answer.verdict == "not_run", "%s", answer.text.c_str());
    refused.push_back(key);
    const test_answer edit =
        cluster.Edit(i % 3, R"({"id":"refused","changes":[{"out":"data_centre/east"}]})");
    cr_assert(edit.status == 503 && edit.verdict == "not_run", "%s", edit.text.c_str());
  }
  load.WaitForComplete(100);
  load.Stop();
  const query_load::counts counts = load.Counts();
  cr_assert(counts.error.empty(), "%s", counts.error.c_str());
  cr_assert(counts.incomplete() == 0, "%s", counts.incomplete_example.c_str());
  cluster.store().set_faults({});
  cluster.WaitFor("a submission after the outage",
                  [&] { return cluster.Submit(0, "after").verdict == "ran"; });
  cr_assert(cluster.CountRuns("after") == 1);
  for (const std::string& key : refused) {
    cr_assert(cluster.CountRuns(key) == 0, "%s was refused as not run", key.c_str());
  }
  cr_assert(cluster.StoredTable().version == 1);
  // A refused submission leaves its key unclaimed: the caller's resend must run.
  cluster.WaitFor("the resend of a refused submission",
                  [&] { return cluster.Submit(1, refused.front()).verdict == "ran"; });
  cr_assert(cluster.CountRuns(refused.front()) == 1);
}

// Guards against an edit that is stored twice, or reported as failed, when the key-value service's
// reply to its compare-and-swap is lost.
Test(store_failures, a_lost_answer_stores_an_edit_once) {
  test_cluster cluster;
  cluster.store().set_faults({.lost_answers = 1});
  const test_answer edit =
      cluster.Edit(0, R"({"id":"once","changes":[{"out":"data_centre/east"}]})");
  cr_assert(edit.status == 200, "%s", edit.text.c_str());
  cr_assert(cluster.store().faults().lost_answers == 0);
  const operator_table table = cluster.StoredTable();
  cr_assert(table.version == 2 && FindDataCentre(table, "east")->taken_out);
  cr_assert(std::count_if(table.edits.begin(), table.edits.end(),
                          [](const recorded_edit& entry) { return entry.id == "once"; }) == 1);
}

// Guards against a submission that runs twice or not at all when the reply to the compare-and-swap
// of its claim, or of its outcome, is lost.
Test(store_failures, a_lost_answer_runs_a_pledge_once) {
  test_cluster cluster;
  for (int i = 0; i < 6; ++i) {
    const std::string key = "lost-" + std::to_string(i);
    cluster.store().set_faults({.lost_answers = 1 + i % 2});
    const test_answer answer = cluster.Submit(i % 3, key);
    cr_assert(answer.verdict == "ran", "%s", answer.text.c_str());
    cluster.WaitFor("the lost answers", [&] { return cluster.store().faults().lost_answers == 0; });
    const test_answer again = cluster.Submit((i + 1) % 3, key);
    cr_assert(again.verdict == "ran" && again.body == answer.body, "%s", again.text.c_str());
    cr_assert(cluster.CountRuns(key) == 1);
  }
}
