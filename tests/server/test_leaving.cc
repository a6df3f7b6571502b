#include <criterion/criterion.h>

#include "server/query_load.h"
#include "server/test_cluster.h"

using namespace limpetlever;

namespace {

void AssertNothingLost(const test_cluster& cluster, const query_load& load) {
  const query_load::counts counts = load.Counts();
  cr_assert(counts.error.empty(), "%s", counts.error.c_str());
  cr_assert(counts.lost == 0, "%ld of %ld; %s", counts.lost, counts.complete,
            counts.lost_example.c_str());
  // While replicas change owner, attempts refused with not_owner are retried within the budget of
  // 10% only, so that an answer may be partial.
  cr_assert(counts.may_have_run == 0, "%s", counts.incomplete_example.c_str());
  cluster.AssertWithinSlots();
}

}  // namespace

// Guards against a graceful shutdown that aborts a request in flight, or loses the query of a
// caller that still uses the host's address.
Test(leaving, a_host_that_leaves_loses_no_query) {
  test_cluster cluster({.hosts = 4});
  query_load load(cluster, query_load::AllHosts(cluster));
  load.FollowAdvice();
  load.WaitForComplete(200);
  load.Reset();
  cluster.LeaveHost(0);
  load.WaitForComplete(100);
  load.Stop();
  AssertNothingLost(cluster, load);
}

// Guards against lost state, failed queries, and submissions that run twice when all hosts are
// replaced one after the other.
Test(leaving, all_hosts_are_replaced) {
  test_cluster cluster;
  query_load load(cluster, query_load::AllHosts(cluster));
  load.FollowAdvice();
  load.WaitForComplete(100);
  const test_answer answer = cluster.Submit(0, "kept");
  cr_assert(answer.verdict == "ran", "%s", answer.text.c_str());
  cr_assert(
      cluster
          .Edit(
              0,
              R"({"changes":[{"set":{"row":"data_centre","name":"east","region":"r","weight":0.5}}]})")
          .status == 200);
  load.Reset();
  for (int i = 0; i < 3; ++i) {
    const int added = cluster.AddHost();
    cluster.WaitUntilServing();
    cr_assert(added == 3 + i);
    cluster.LeaveHost(i);
    cluster.WaitUntilServing();
  }
  load.Stop();
  AssertNothingLost(cluster, load);
  for (const int index : cluster.hosts()) {
    cr_assert(FindDataCentre(*cluster.host(index).state().table(), "east")->weight == 0.5);
    const test_answer again = cluster.Submit(index, "kept");
    cr_assert(again.verdict == "ran" && again.body == answer.body, "%s", again.text.c_str());
  }
  cr_assert(cluster.CountRuns("kept") == 1);
}
