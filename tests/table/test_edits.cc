#include <criterion/criterion.h>

#include <string>

#include "base/errc.h"
#include "base/random_source.h"
#include "table/sample_table.h"
#include "table/table_diff.h"
#include "table/table_editor.h"

using namespace limpetlever;

namespace {

/** A key-value service with one key, in which writes can be lost or preceded by another write. */
struct test_store {
  std::string value;
  std::int64_t revision = 0;
  int writes = 0;
  /** Called once, before the next Put. */
  std::function<void(test_store&)> before_put;
  /** Fault of a Put. 0: none, 1: the write is lost, 2: it takes effect but its answer is lost. */
  std::function<int()> fault;
  bool is_unavailable = false;

  result<key_value_entry> Get(const std::string& /*key*/) {
    if (is_unavailable) {
      return failure{errc::store_unavailable, "down"};
    }
    return key_value_entry{value, revision};
  }
  result<std::int64_t> Put(const std::string& /*key*/,
                           const std::string& text,
                           std::int64_t expected) {
    if (before_put) {
      std::exchange(before_put, {})(*this);
    }
    if (is_unavailable) {
      return failure{errc::store_unavailable, "down"};
    }
    const int injected_fault = fault ? fault() : 0;
    if (injected_fault == 1) {
      return failure{errc::store_outcome_unknown, "lost"};
    }
    if (expected != revision) {
      return failure{errc::store_conflict, "revision"};
    }
    value = text;
    ++revision;
    ++writes;
    if (injected_fault == 2) {
      return failure{errc::store_outcome_unknown, "answer lost"};
    }
    return revision;
  }
  result<std::optional<key_value_entry>> Watch(const std::string&, std::int64_t, duration) {
    return std::optional<key_value_entry>();
  }
};

test_store MakeStore(const operator_table& table) {
  test_store store;
  store.value = FormatTableJson(table);
  store.revision = 1;
  return store;
}

edit_request MakeTakeOutEdit(const std::string& id, const std::string& key) {
  edit_request edit{.id = id, .author = "a", .summary = "out " + key};
  edit.changes.emplace_back(set_taken_out{key, true});
  return edit;
}

edit_outcome Apply(test_store& store, const edit_request& edit) {
  return table_editor(store, [](int) {}).Apply(edit);
}

operator_table StoredTable(const test_store& store) {
  return *ParseTableJson(store.value, "t");
}

}  // namespace

// Guards against an edit that does not change the rows of its changes, or changes other rows.
Test(edits, each_change_affects_only_its_row) {
  const operator_table table = SampleTable();
  edit_request edit = MakeTakeOutEdit("e", "data_centre/east");
  edit.changes.emplace_back(set_taken_out{"host/host-03", false});
  edit.changes.emplace_back(remove_row{"backend_server/10.0.0.2:80"});
  edit.changes.emplace_back(set_row{service_row{.name = "new", .workload = "matching"}});
  const auto changed = ApplyEdit(table, edit);
  cr_assert(changed);
  cr_assert(changed->version == 6 && changed->edits.back().id == "e");
  cr_assert(FindDataCentre(*changed, "east")->taken_out && changed->taken_out_hosts.empty());
  cr_assert(ChangedRowKeys(table, *changed) == EditedRowKeys(edit));
  const auto replayed = ApplyEdit(table, {.id = "d", .changes = DiffTables(table, *changed)});
  cr_assert(replayed);
  cr_assert(ChangedRowKeys(*changed, *replayed).empty());
}

// Guards against edits that are applied in part, and against edits of rows that do not exist.
Test(edits, an_edit_with_an_error_is_refused_entirely) {
  edit_request edit = MakeTakeOutEdit("e", "data_centre/east");
  edit.changes.emplace_back(remove_row{"data_centre/north"});
  const auto removed = ApplyEdit(SampleTable(), edit);
  cr_assert(removed.error().message ==
            "edit: backend server \"10.0.0.2:80\": data_centre \"north\" has no row");
  const auto unknown = ApplyEdit(SampleTable(), MakeTakeOutEdit("e", "data_centre/west"));
  cr_assert(unknown.error().message == "the table has no row \"data_centre/west\"");
}

// Guards against a history that grows without bound.
Test(edits, history_keeps_the_last_fifty_edits) {
  operator_table table = SampleTable();
  for (int i = 0; i < 60; ++i) {
    table = *ApplyEdit(table, MakeTakeOutEdit("e" + std::to_string(i), "data_centre/east"));
  }
  cr_assert(table.edits.size() == kMaxHistoryEdits && table.edits.front().id == "e10");
}

// Guards against losing or refusing one of two concurrent edits of different rows.
Test(edits, concurrent_edits_of_different_rows_are_both_kept) {
  test_store store = MakeStore(SampleTable());
  store.before_put = [](test_store& s) { Apply(s, MakeTakeOutEdit("other", "host/h1")); };
  const edit_outcome outcome = Apply(store, MakeTakeOutEdit("mine", "data_centre/east"));
  cr_assert(outcome.outcome == Ran() && outcome.version == 7);
  cr_assert(FindEdit(StoredTable(store), "other") && FindEdit(StoredTable(store), "mine"));
}

// Guards against overwriting a concurrent edit of the same row.
Test(edits, a_concurrent_edit_of_the_same_row_is_reported_as_a_conflict) {
  test_store store = MakeStore(SampleTable());
  store.before_put = [](test_store& s) { Apply(s, MakeTakeOutEdit("other", "data_centre/east")); };
  const edit_outcome outcome = Apply(store, MakeTakeOutEdit("mine", "data_centre/east"));
  cr_assert(outcome.outcome.state == run_state::not_run);
  cr_assert(outcome.outcome.error == errc::edit_conflict && outcome.version == 6);
  cr_assert(outcome.conflicting_rows == std::vector<std::string>{"data_centre/east"});
  cr_assert(!FindEdit(StoredTable(store), "mine"));
}

// Guards against overwriting edits that the history no longer contains.
Test(edits, a_base_version_older_than_the_history_conflicts) {
  test_store store = MakeStore(SampleTable());
  edit_request edit = MakeTakeOutEdit("mine", "data_centre/east");
  edit.base_version = 2;
  cr_assert(Apply(store, edit).outcome.error == errc::edit_conflict);
}

// Guards against an edit that is stored twice after a lost answer, and against a wrong outcome;
// runs 500 seeds of lost writes, lost answers and concurrent edits.
Test(edits, a_lost_answer_causes_no_second_write_and_no_wrong_outcome) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    random_source random(seed);
    test_store store = MakeStore(SampleTable());
    store.fault = [&random] { return static_cast<int>(random.Below(3)); };
    int others = 0;
    edit_request edit = MakeTakeOutEdit("mine", "data_centre/east");
    table_editor editor(store, [&](int) {
      if (random.Below(3) == 0) {
        test_store& s = store;
        const auto faults = std::exchange(s.fault, {});
        Apply(s, MakeTakeOutEdit("other" + std::to_string(others++),
                                 "host/h" + std::to_string(others)));
        s.fault = faults;
      }
    });
    const edit_outcome outcome = editor.Apply(edit);
    const operator_table table = StoredTable(store);
    const bool is_stored = FindEdit(table, "mine") != nullptr;
    cr_assert(table.version == 5 + others + (is_stored ? 1 : 0), "seed %d", (int)seed);
    cr_assert(outcome.outcome.state != run_state::ran || is_stored, "seed %d", (int)seed);
    cr_assert(outcome.outcome.state != run_state::not_run || !is_stored, "seed %d", (int)seed);
    store.fault = {};
    cr_assert(Apply(store, edit).outcome == Ran());
    cr_assert(StoredTable(store).version == 6 + others, "seed %d", (int)seed);
  }
}

// Guards against the outcome not_run for an edit whose write may still take effect.
Test(edits, an_unavailable_store_after_a_lost_answer_leaves_the_outcome_unknown) {
  test_store store = MakeStore(SampleTable());
  store.fault = [&store] { return store.is_unavailable = true, 1; };
  cr_assert(Apply(store, MakeTakeOutEdit("mine", "data_centre/east")).outcome.state ==
            run_state::may_have_run);
  test_store down = MakeStore(SampleTable());
  down.is_unavailable = true;
  cr_assert(Apply(down, MakeTakeOutEdit("mine", "data_centre/east")).outcome.error ==
            errc::store_unavailable);
}

// Guards against writing a value that is too large for the key-value service.
Test(edits, a_table_over_one_megabyte_is_refused_with_its_size) {
  operator_table table = SampleTable();
  for (int i = 0; i < 12'000; ++i) {
    table.backend_servers.push_back(
        {.address = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80",
         .service = "m-00",
         .data_centre = "east"});
  }
  test_store store = MakeStore(table);
  const edit_outcome outcome = Apply(store, MakeTakeOutEdit("mine", "data_centre/east"));
  cr_assert(outcome.outcome.error == errc::too_large && store.writes == 0);
  cr_assert(outcome.outcome.detail.find("stores at most 1048576") != std::string::npos);
}
