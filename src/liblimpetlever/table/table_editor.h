#ifndef LIMPETLEVER_TABLE_TABLE_EDITOR_H_
#define LIMPETLEVER_TABLE_TABLE_EDITOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/errc.h"
#include "control/key_value_store.h"
#include "table/apply_edit.h"
#include "table/edit_outcome.h"
#include "table/table_json.h"

namespace limpetlever {

/**
 * Stores edits of the operators' table by compare-and-swap. An edit takes effect at most once: its
 * id is looked for in every version read, and a write whose answer was lost is only repeated at the
 * same revision, where one of the two must fail.
 */
template <key_value_store Store>
class table_editor {
 public:
  /** `pause` waits before attempt `n` (from 1), for example with a growing delay. */
  table_editor(Store& store, std::function<void(int n)> pause)
      : store_(store), pause_(std::move(pause)) {}

  edit_outcome Apply(const edit_request& edit);

 private:
  // Eight racing writers leave the slowest one seven conflicts; more would hold the operator up.
  static constexpr int kMaxAttempts = 8;

  struct read_table {
    operator_table table;
    std::string text;
    std::int64_t revision = 0;
  };

  result<read_table> Read();

  Store& store_;
  std::function<void(int)> pause_;
};

template <key_value_store Store>
result<typename table_editor<Store>::read_table> table_editor<Store>::Read() {
  const auto entry = store_.Get("table");
  if (!entry) {
    if (entry.error().code == errc::not_found) {
      return read_table{};
    }
    return entry.error();
  }
  auto table = ParseTableJson(entry->value, "stored table");
  if (!table) {
    return table.error();
  }
  return read_table{std::move(table.value()), entry->value, entry->revision};
}

template <key_value_store Store>
edit_outcome table_editor<Store>::Apply(const edit_request& edit) {
  edit_outcome outcome;
  std::int64_t base = edit.base_version;
  // Revision and version of a write whose answer was lost.
  std::optional<std::int64_t> unresolved_revision;
  std::int64_t lost_version = 0;
  failure last{errc::store_conflict, "other edits were stored first in every attempt"};
  const auto refuse = [&](const failure& reason) {
    outcome.outcome = unresolved_revision ? MayHaveRun(errc::store_outcome_unknown, reason.message)
                                          : NotRun(reason.code, reason.message);
    return outcome;
  };
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      pause_(attempt);
    }
    auto current = Read();
    if (!current) {
      last = current.error();
      if (last.code != errc::store_unavailable) {
        return refuse(last);
      }
      continue;
    }
    const operator_table& table = current->table;
    outcome.version = table.version;
    outcome.table_text = current->text;
    if (const recorded_edit* stored = FindEdit(table, edit.id)) {
      outcome.version = stored->version;
      outcome.outcome = Ran();
      return outcome;
    }
    if (unresolved_revision && *unresolved_revision != current->revision) {
      // Another write took the revision, so the lost one failed, unless the history has moved on so
      // far that the edit may have dropped out of it.
      if (table.version - lost_version >= static_cast<std::int64_t>(kMaxEdits)) {
        return refuse({errc::store_outcome_unknown, "the edit is older than the history"});
      }
      unresolved_revision.reset();
    }
    if (base == 0) {
      base = table.version;
    }
    outcome.conflicting_rows = ConflictingRowKeys(table, edit, base);
    if (!outcome.conflicting_rows.empty()) {
      return refuse(
          {errc::edit_conflict, "rows were edited after version " + std::to_string(base)});
    }
    const auto changed = ApplyEdit(table, edit);
    if (!changed) {
      return refuse(changed.error());
    }
    const auto text = FormatForStore(*changed);
    if (!text) {
      return refuse(text.error());
    }
    const auto written = store_.Put("table", *text, current->revision);
    if (written) {
      outcome.version = changed->version;
      outcome.table_text = *text;
      outcome.outcome = Ran();
      return outcome;
    }
    last = written.error();
    if (last.code == errc::store_outcome_unknown) {
      unresolved_revision = current->revision;
      lost_version = changed->version;
    }
  }
  return refuse(last);
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_EDITOR_H_
