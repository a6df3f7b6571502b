#include <criterion/criterion.h>

#include <string>

#include "base/errc.h"
#include "base/random_source.h"
#include "table/sample_table.h"
#include "table/table_diff.h"
#include "table/table_editor.h"

using namespace limpetlever;

namespace {

/** A key-value service with one key, whose writes can be lost or raced. */
struct test_store {
  std::string value;
  std::int64_t revision = 0;
  int writes = 0;
  /** Called before each Put. */
  std::function<void(test_store&)> before_put;
  /** 1: the write is lost, 2: it takes effect but its answer is lost. */
  std::function<int()> fault;
  bool is_down = false;

  result<key_value_entry> Get(const std::string& /*key*/) {
    if (is_down) {
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
    if (is_down) {
      return failure{errc::store_unavailable, "down"};
    }
    const int kind = fault ? fault() : 0;
    if (kind == 1) {
      return failure{errc::store_outcome_unknown, "lost"};
    }
    if (expected != revision) {
      return failure{errc::store_conflict, "revision"};
    }
    value = text;
    ++revision;
    ++writes;
    if (kind == 2) {
      return failure{errc::store_outcome_unknown, "answer lost"};
    }
    return revision;
  }
  result<std::optional<key_value_entry>> Watch(const std::string&, std::int64_t, duration) {
    return std::optional<key_value_entry>();
  }
};

test_store StoreWith(const operator_table& table) {
  test_store store;
  store.value = FormatTableJson(table);
  store.revision = 1;
  return store;
}

edit_request TakeOut(const std::string& id, const std::string& key) {
  edit_request edit{.id = id, .author = "a", .summary = "out " + key};
  edit.changes.emplace_back(set_out{key, true});
  return edit;
}

edit_outcome Apply(test_store& store, const edit_request& edit) {
  return table_editor(store, [](int) {}).Apply(edit);
}

operator_table TableOf(const test_store& store) {
  return *ParseTableJson(store.value, "t");
}

}  // namespace

// Guards against an edit that leaves the rows it names unchanged, or changes others.
Test(edits, each_change_changes_its_row_only) {
  const operator_table table = SampleTable();
  edit_request edit = TakeOut("e", "data_centre/east");
  edit.changes.emplace_back(set_out{"host/host-03", false});
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

// Guards against half-applied edits and edits of rows that do not exist.
Test(edits, an_edit_with_a_mistake_is_refused_whole) {
  edit_request edit = TakeOut("e", "data_centre/east");
  edit.changes.emplace_back(remove_row{"data_centre/north"});
  const auto removed = ApplyEdit(SampleTable(), edit);
  cr_assert(removed.error().message ==
            "edit: backend server \"10.0.0.2:80\": data_centre \"north\" has no row");
  const auto unknown = ApplyEdit(SampleTable(), TakeOut("e", "data_centre/west"));
  cr_assert(unknown.error().message == "the table has no row \"data_centre/west\"");
}

// Guards against a history that grows without bound.
Test(edits, history_keeps_the_last_fifty) {
  operator_table table = SampleTable();
  for (int i = 0; i < 60; ++i) {
    table = *ApplyEdit(table, TakeOut("e" + std::to_string(i), "data_centre/east"));
  }
  cr_assert(table.edits.size() == kMaxEdits && table.edits.front().id == "e10");
}

// Guards against a racing edit of another row being lost or refused.
Test(edits, a_race_on_other_rows_keeps_both_edits) {
  test_store store = StoreWith(SampleTable());
  store.before_put = [](test_store& s) { Apply(s, TakeOut("other", "host/h1")); };
  const edit_outcome outcome = Apply(store, TakeOut("mine", "data_centre/east"));
  cr_assert(outcome.outcome == Ran() && outcome.version == 7);
  cr_assert(FindEdit(TableOf(store), "other") && FindEdit(TableOf(store), "mine"));
}

// Guards against a racing edit of the same row being overwritten.
Test(edits, a_race_on_the_same_row_names_the_row) {
  test_store store = StoreWith(SampleTable());
  store.before_put = [](test_store& s) { Apply(s, TakeOut("other", "data_centre/east")); };
  const edit_outcome outcome = Apply(store, TakeOut("mine", "data_centre/east"));
  cr_assert(outcome.outcome.state == run_state::not_run);
  cr_assert(outcome.outcome.error == errc::edit_conflict && outcome.version == 6);
  cr_assert(outcome.conflicting_rows == std::vector<std::string>{"data_centre/east"});
  cr_assert(!FindEdit(TableOf(store), "mine"));
}

// Guards against overwriting edits that are no longer in the history.
Test(edits, a_base_before_the_history_conflicts) {
  test_store store = StoreWith(SampleTable());
  edit_request edit = TakeOut("mine", "data_centre/east");
  edit.base_version = 2;
  cr_assert(Apply(store, edit).outcome.error == errc::edit_conflict);
}

// Guards against a second write after a lost answer, and against a false report; 500 seeds of lost
// writes, lost answers and races.
Test(edits, lost_answers_never_write_twice_or_lie) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    random_source random(seed);
    test_store store = StoreWith(SampleTable());
    store.fault = [&random] { return static_cast<int>(random.Below(3)); };
    int others = 0;
    edit_request edit = TakeOut("mine", "data_centre/east");
    table_editor editor(store, [&](int) {
      if (random.Below(3) == 0) {
        test_store& s = store;
        const auto faults = std::exchange(s.fault, {});
        Apply(s, TakeOut("other" + std::to_string(others++), "host/h" + std::to_string(others)));
        s.fault = faults;
      }
    });
    const edit_outcome outcome = editor.Apply(edit);
    const operator_table table = TableOf(store);
    const bool is_stored = FindEdit(table, "mine") != nullptr;
    cr_assert(table.version == 5 + others + (is_stored ? 1 : 0), "seed %d", (int)seed);
    cr_assert(outcome.outcome.state != run_state::ran || is_stored, "seed %d", (int)seed);
    cr_assert(outcome.outcome.state != run_state::not_run || !is_stored, "seed %d", (int)seed);
    store.fault = {};
    cr_assert(Apply(store, edit).outcome == Ran());
    cr_assert(TableOf(store).version == 6 + others, "seed %d", (int)seed);
  }
}

// Guards against "not run" for an edit whose write may still arrive.
Test(edits, an_unreadable_store_after_a_lost_answer_is_unknown) {
  test_store store = StoreWith(SampleTable());
  store.fault = [&store] { return store.is_down = true, 1; };
  cr_assert(Apply(store, TakeOut("mine", "data_centre/east")).outcome.state ==
            run_state::may_have_run);
  test_store down = StoreWith(SampleTable());
  down.is_down = true;
  cr_assert(Apply(down, TakeOut("mine", "data_centre/east")).outcome.error ==
            errc::store_unavailable);
}

// Guards against a value that the key-value service cannot store.
Test(edits, a_table_over_one_megabyte_is_refused_with_its_size) {
  operator_table table = SampleTable();
  for (int i = 0; i < 12'000; ++i) {
    table.backend_servers.push_back(
        {.address = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80",
         .service = "m-00",
         .data_centre = "east"});
  }
  test_store store = StoreWith(table);
  const edit_outcome outcome = Apply(store, TakeOut("mine", "data_centre/east"));
  cr_assert(outcome.outcome.error == errc::too_large && store.writes == 0);
  cr_assert(outcome.outcome.detail.find("stores at most 1048576") != std::string::npos);
}
