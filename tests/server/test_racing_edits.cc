#include <criterion/criterion.h>

#include <thread>

#include "server/test_cluster.h"

using namespace limpetlever;

// Guards against losing an accepted edit to a concurrent edit of another row, and against accepting
// two concurrent edits of the same row.
Test(racing_edits, other_rows_are_merged_and_one_row_has_one_winner) {
  test_cluster cluster({.hosts = 3, .data_centres = {"east", "north"}});
  std::int64_t version = 1;
  for (int round = 0; round < 5; ++round) {
    const std::string base = R"({"base_version":)" + std::to_string(version);
    const std::string weight = std::to_string(round + 2);
    const auto make_edit = [&](const std::string& name, const std::string& value) {
      return base + R"(,"changes":[{"set":{"row":"data_centre","name":")" + name +
             R"(","region":"r","weight":0.)" + value + "}}]}";
    };
    test_answer first;
    test_answer second;
    const auto edit_concurrently = [&](const std::string& a, const std::string& b) {
      std::thread other([&] { second = cluster.Edit(1, b); });
      first = cluster.Edit(0, a);
      other.join();
    };
    edit_concurrently(make_edit("east", weight), make_edit("north", weight));
    cr_assert(first.status == 200 && second.status == 200, "%s %s", first.text.c_str(),
              second.text.c_str());
    const operator_table merged = cluster.StoredTable();
    cr_assert(merged.version == version + 2);
    cr_assert(FindDataCentre(merged, "east")->weight == FindDataCentre(merged, "north")->weight);
    version = merged.version;
    cluster.WaitForTable(version);

    const std::string next_base = R"({"base_version":)" + std::to_string(version);
    const auto edit_of_one_row = [&](const char* value) {
      return next_base +
             R"(,"changes":[{"set":{"row":"data_centre","name":"east","region":"r","weight":)" +
             value + "}}]}";
    };
    edit_concurrently(edit_of_one_row("0.91"), edit_of_one_row("0.92"));
    cr_assert((first.status == 200) != (second.status == 200), "%s %s", first.text.c_str(),
              second.text.c_str());
    const test_answer& loser = first.status == 200 ? second : first;
    cr_assert(loser.status == 409 && loser.verdict == "not_run", "%s", loser.text.c_str());
    cr_assert(loser.text.find(R"("conflicting_rows":["data_centre/east"])") != std::string::npos);
    const operator_table decided = cluster.StoredTable();
    cr_assert(decided.version == version + 1);
    cr_assert(FindDataCentre(decided, "east")->weight == (first.status == 200 ? 0.91 : 0.92));
    version = decided.version;
    cluster.WaitForTable(version);
  }
}
