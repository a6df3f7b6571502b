#include <criterion/criterion.h>

#include <algorithm>

#include "server/query_load.h"
#include "server/test_cluster.h"

using namespace limpetlever;

// Guards against queries that stop with the key-value service, and against an edit or a pledge that
// is refused as "not run" and runs all the same.
Test(store_failures, an_outage_refuses_edits_and_pledges_and_no_queries) {
  test_cluster cluster;
  query_load load(cluster, query_load::AllHosts(cluster));
  load.WaitForComplete(50);
  load.Reset();
  cluster.store().set_faults({.outage = true});
  // Longer than a view lease of 2.5 s with its margin, so that all leases are attested ones.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  std::vector<std::string> refused;
  for (int i = 0; std::chrono::steady_clock::now() < end || i < 6; ++i) {
    const std::string key = "refused-" + std::to_string(i);
    const test_answer pledge = cluster.Submit(i % 3, key);
    cr_assert(pledge.status == 503 && pledge.verdict == "not_run", "%s", pledge.text.c_str());
    refused.push_back(key);
    const test_answer edit =
        cluster.Edit(i % 3, R"({"id":"refused","changes":[{"out":"data_centre/east"}]})");
    cr_assert(edit.status == 503 && edit.verdict == "not_run", "%s", edit.text.c_str());
  }
  load.WaitForComplete(100);
  load.Stop();
  const query_load::counts counts = load.Counts();
  cr_assert(counts.mistake.empty(), "%s", counts.mistake.c_str());
  cr_assert(counts.incomplete() == 0, "%s", counts.example.c_str());
  cluster.store().set_faults({});
  cluster.WaitFor("a pledge after the outage",
                  [&] { return cluster.Submit(0, "after").verdict == "ran"; });
  cr_assert(cluster.Runs("after") == 1);
  for (const std::string& key : refused) {
    cr_assert(cluster.Runs(key) == 0, "%s was refused as not run", key.c_str());
  }
  cr_assert(cluster.StoredTable().version == 1);
  // A refused key is free: the caller's resend must run.
  cluster.WaitFor("a refused pledge sent again",
                  [&] { return cluster.Submit(1, refused.front()).verdict == "ran"; });
  cr_assert(cluster.Runs(refused.front()) == 1);
}

// Guards against an edit that is stored twice, or reported as lost, when the answer to its swap is
// lost.
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

// Guards against a pledge that runs twice or not at all when the answer to the swap for its claim,
// or for its outcome, is lost.
Test(store_failures, a_lost_answer_runs_a_pledge_once) {
  test_cluster cluster;
  for (int i = 0; i < 6; ++i) {
    const std::string key = "lost-" + std::to_string(i);
    cluster.store().set_faults({.lost_answers = 1 + i % 2});
    const test_answer pledge = cluster.Submit(i % 3, key);
    cr_assert(pledge.verdict == "ran", "%s", pledge.text.c_str());
    cluster.WaitFor("the lost answers", [&] { return cluster.store().faults().lost_answers == 0; });
    const test_answer again = cluster.Submit((i + 1) % 3, key);
    cr_assert(again.verdict == "ran" && again.body == pledge.body, "%s", again.text.c_str());
    cr_assert(cluster.Runs(key) == 1);
  }
}
