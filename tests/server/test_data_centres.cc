#include <criterion/criterion.h>

#include "server/query_load.h"
#include "server/test_cluster.h"

using namespace limpetlever;

namespace {

// Within this time of a take-out, all new work in the data centre must have ended.
constexpr auto kMaxTakeOutTime = std::chrono::seconds(3);

void TakeOutAndReturn(bool store_fails) {
  test_cluster cluster;
  query_load load(cluster, query_load::AllHosts(cluster));
  load.WaitForComplete(50);
  const auto east = cluster.FindBackends("east");
  load.Reset();
  const test_answer out = cluster.Edit(0, R"({"id":"out","changes":[{"out":"data_centre/east"}]})");
  cluster.store().set_faults({.outage = store_fails});
  cr_assert(out.status == 200, "%s", out.text.c_str());
  cluster.WaitForTable(2);
  std::this_thread::sleep_for(kMaxTakeOutTime);
  const long received = cluster.CountReceived(east);
  load.WaitForComplete(200);
  cr_assert(cluster.CountReceived(east) == received, "new work in a data centre that is out");
  cluster.store().set_faults({});
  cluster.WaitFor("the edit that returns the data centre", [&] {
    return cluster.Edit(1, R"({"id":"in","changes":[{"in":"data_centre/east"}]})").status == 200;
  });
  cluster.WaitForTable(3);
  cluster.WaitFor("work in the data centre that is back",
                  [&] { return cluster.CountReceived(east) > received; });
  load.WaitForComplete(100);
  load.Stop();
  const query_load::counts counts = load.Counts();
  cr_assert(counts.error.empty(), "%s", counts.error.c_str());
  cr_assert(counts.incomplete() == 0, "coverage below 1: %ld of %ld; %s", counts.incomplete(),
            counts.complete, counts.incomplete_example.c_str());
  cluster.AssertWithinSlots();
}

}  // namespace

// Guards against work in a data centre that operators have taken out, and against missing shards
// although another data centre holds each of them.
Test(data_centres, out_and_back_keeps_coverage) {
  TakeOutAndReturn(false);
}

// Guards against a take-out that does not reach all hosts if the key-value service fails right
// after the edit.
Test(data_centres, out_and_back_with_a_store_outage_after_the_edit) {
  TakeOutAndReturn(true);
}
