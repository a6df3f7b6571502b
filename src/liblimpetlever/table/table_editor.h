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
 * Applies edits to the operators' table in the key-value service by compare-and-swap. An edit takes
 * effect at most once: each version that is read is searched for its id, and a write whose answer
 * was lost is repeated only at the same revision, where at most one of the two writes can succeed.
 */
template <key_value_store Store>
class table_editor {
 public:
  /** `pause` waits before the n-th retry (from 1), for example with an increasing delay. */
  table_editor(Store& store, std::function<void(int n)> pause)
      : store_(store), pause_(std::move(pause)) {}

  edit_outcome Apply(const edit_request& edit);

 private:
  // With eight concurrent writers the slowest one has seven conflicts before its write succeeds.
  // More attempts would keep the operator waiting too long.
  static constexpr int kMaxAttempts = 8;

  struct stored_table {
    operator_table table;
    std::string text;
    std::int64_t revision = 0;
  };

  result<stored_table> Read();

  Store& store_;
  std::function<void(int)> pause_;
};

template <key_value_store Store>
result<typename table_editor<Store>::stored_table> table_editor<Store>::Read() {
  const auto entry = store_.Get("table");
  if (!entry) {
    if (entry.error().code == errc::not_found) {
      return stored_table{};
    }
    return entry.error();
  }
  auto table = ParseTableJson(entry->value, "stored table");
  if (!table) {
    return table.error();
  }
  return stored_table{std::move(table.value()), entry->value, entry->revision};
}

template <key_value_store Store>
edit_outcome table_editor<Store>::Apply(const edit_request& edit) {
  edit_outcome outcome;
  std::int64_t base = edit.base_version;
  // Revision and table version of a write whose answer was lost, so that its outcome is unknown.
  std::optional<std::int64_t> unresolved_revision;
  std::int64_t unresolved_version = 0;
  failure last_failure{errc::store_conflict, "another edit was stored first in each attempt"};
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
      last_failure = current.error();
      if (last_failure.code != errc::store_unavailable) {
        return refuse(last_failure);
      }
      continue;
    }
    const operator_table& table = current->table;
    outcome.version = table.version;
    outcome.table_text = current->text;
    if (const recorded_edit* stored_edit = FindEdit(table, edit.id)) {
      outcome.version = stored_edit->version;
      outcome.outcome = Ran();
      return outcome;
    }
    if (unresolved_revision && *unresolved_revision != current->revision) {
      // A write at this revision succeeded and the edit is not in the history, so the write whose
      // answer was lost failed, unless so many edits followed that the history no longer reaches
      // back to it.
      if (table.version - unresolved_version >= static_cast<std::int64_t>(kMaxHistoryEdits)) {
        return refuse({errc::store_outcome_unknown,
                       "the history no longer reaches back to the version of the edit"});
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
    last_failure = written.error();
    if (last_failure.code == errc::store_outcome_unknown) {
      unresolved_revision = current->revision;
      unresolved_version = changed->version;
    }
  }
  return refuse(last_failure);
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_EDITOR_H_
