#include "server/table_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "base/errc.h"
#include "base/json_reader.h"
#include "server/api_format.h"
#include "server/host_server.h"
#include "table/edit_json.h"
#include "table/table_csv.h"
#include "table/table_diff.h"
#include "table/table_editor.h"
#include "table/table_json.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

/** Number of hosts that an accepted table is pushed to; each passes it on (docs/design.md, 5.9). */
constexpr std::size_t kTableFanout = 8;
// A table that an operator fetched and edited by hand is at most a few versions old.
constexpr std::size_t kMaxKeptVersions = 8;

std::string Parameter(const api_request& request, const std::string& name) {
  const auto found = request.parameters.find(name);
  return found == request.parameters.end() ? std::string() : found->second;
}

std::string NewId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << WallNow().time_since_epoch().count() << "-" << random();
  return id.str();
}

int HttpStatus(const edit_outcome& outcome) {
  const std::error_code code = outcome.outcome.error;
  if (code == errc::edit_conflict || code == errc::store_conflict) {
    return 409;
  }
  if (code == errc::invalid_input) {
    return 400;
  }
  return code == errc::too_large ? 413 : HttpStatus(outcome.outcome);
}

std::string Join(const std::vector<std::string>& values) {
  std::string text;
  for (const std::string& value : values) {
    text += (text.empty() ? "" : " ") + value;
  }
  return text;
}

}  // namespace

api_response table_api::Get(const api_request& request) {
  const std::string format = Parameter(request, "format");
  if (!format.empty() && format != "json" && format != "csv") {
    return ErrorResponse(400, "parameter format is \"" + format + "\"; allowed: json, csv");
  }
  const auto table = server_.state().table();
  if (table->version == 0) {
    return ErrorResponse(503, "not_ready: this host has not received a table yet");
  }
  KeepVersion(table);
  if (format == "csv") {
    return {.status = 200, .body = FormatTableCsv(*table), .content_type = "text/csv"};
  }
  return {.status = 200, .body = FormatTableJson(*table)};
}

void table_api::KeepVersion(const std::shared_ptr<const operator_table>& table) {
  const std::lock_guard lock(mutex_);
  kept_versions_[table->version] = table;
  if (kept_versions_.size() > kMaxKeptVersions) {
    kept_versions_.erase(kept_versions_.begin());
  }
}

std::shared_ptr<const operator_table> table_api::FindVersion(std::int64_t version) {
  const auto newest = server_.state().table();
  if (newest->version == version) {
    return newest;
  }
  const std::lock_guard lock(mutex_);
  const auto found = kept_versions_.find(version);
  return found == kept_versions_.end() ? nullptr : found->second;
}

result<edit_request> table_api::EditFromTable(edit_request edit, const operator_table& wanted) {
  // Version 0 is the empty table before the first edit; it must not overwrite a stored table that
  // this host has not received yet.
  if (edit.base_version == 0) {
    const auto stored = server_.store().Get("table");
    if (stored || stored.error().code != errc::not_found) {
      return stored ? failure{errc::edit_conflict, "a table exists; get it and edit that one"}
                    : stored.error();
    }
  }
  const auto base = FindVersion(edit.base_version);
  if (!base) {
    return failure{errc::edit_conflict, "version " + std::to_string(edit.base_version) +
                                            " is no longer known on this host; get the table "
                                            "again and repeat the changes"};
  }
  edit.changes = DiffTables(*base, wanted);
  if (edit.changes.empty()) {
    return failure{errc::invalid_input,
                   "the table does not differ from version " + std::to_string(edit.base_version)};
  }
  return edit;
}

result<edit_request> table_api::ParseEdit(const api_request& request) {
  if (Parameter(request, "format") == "csv") {
    edit_request edit{.id = Parameter(request, "id"),
                      .author = Parameter(request, "author"),
                      .summary = Parameter(request, "summary"),
                      .time_ms = 0,
                      .base_version = 0,
                      .changes = {}};
    const auto table = ParseTableCsv(request.body, "body");
    if (!table) {
      return table.error();
    }
    edit.base_version = table->version;
    return EditFromTable(std::move(edit), *table);
  }
  const auto root = json_reader::ParseText(request.body, "body");
  if (!root) {
    return root.error();
  }
  if (!(*root)->has("table")) {
    return ParseEditJson(request.body, "body");
  }
  json_reader in(*root, "");
  edit_request edit{
      .id = in.StringOr("id", ""),
      .author = in.StringOr("author", ""),
      .summary = in.StringOr("summary", ""),
      .time_ms = 0,
      .base_version = in.Integer("base_version", 0, std::numeric_limits<std::int64_t>::max()),
      .changes = {}};
  in.Object("table");
  if (const auto error = in.Finish()) {
    return failure{error->code, "body: " + error->message};
  }
  const auto table = ParseTableJson(FormatJson(*(*root)->getObject("table")), "body: table");
  if (!table) {
    return table.error();
  }
  return EditFromTable(std::move(edit), *table);
}

api_response table_api::Post(const api_request& request) {
  auto edit = ParseEdit(request);
  if (!edit) {
    return ErrorResponse(edit.error().code == errc::edit_conflict ? 409 : 400,
                         edit.error().message);
  }
  if (edit->id.empty()) {
    edit.value().id = NewId();
  }
  if (edit->summary.empty()) {
    edit.value().summary = "edit of " + Join(EditedRowKeys(*edit)).substr(0, 200);
  }
  edit.value().time_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(WallNow().time_since_epoch()).count();
  std::minstd_rand random{std::random_device{}()};
  table_editor editor(server_.store(), [&random](int attempt) {
    // Random jitter keeps two editors that conflicted from retrying at the same time.
    const auto max_delay_ms = 10 << std::min(attempt, 5);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(1 + random() % static_cast<unsigned>(max_delay_ms)));
  });
  const edit_outcome outcome = editor.Apply(*edit);
  const bool is_stored = outcome.outcome.state == run_state::ran;
  server_.events().Record(
      is_stored ? event_number::edit_accepted : event_number::edit_refused,
      {{"id", edit->id},
       {"version", std::to_string(outcome.version)},
       {"author", edit->author},
       {"rows", Join(is_stored ? EditedRowKeys(*edit) : outcome.conflicting_rows).substr(0, 500)},
       {"error", is_stored ? "" : outcome.outcome.error.message()}});
  if (!outcome.table_text.empty()) {
    PushTable(outcome);
  }
  Poco::JSON::Object answer(Poco::JSON_PRESERVE_KEY_ORDER);
  answer.set("verdict", ToString(outcome.outcome.state));
  answer.set("id", edit->id);
  answer.set("version", outcome.version);
  answer.set("conflicting_rows", MakeJsonArray(outcome.conflicting_rows));
  answer.set("error",
             is_stored ? "" : outcome.outcome.error.message() + ": " + outcome.outcome.detail);
  return {.status = HttpStatus(outcome), .body = FormatJson(answer)};
}

void table_api::PushTable(const edit_outcome& outcome) {
  const auto table = ParseTableJson(outcome.table_text, "stored table");
  if (!table || table->version <= server_.state().table()->version) {
    return;
  }
  const gossip_entry entry{
      .key = "table", .incarnation = 0, .version = table->version, .value = outcome.table_text};
  server_.gossip().Put(entry);
  std::vector<member> peers = server_.state().members();
  std::erase_if(peers, [this](const member& host) {
    return host.name == server_.state().self().name || host.state == member_state::dead;
  });
  std::shuffle(peers.begin(), peers.end(), std::minstd_rand(std::random_device{}()));
  for (std::size_t i = 0; i < std::min(kTableFanout, peers.size()); ++i) {
    server_.links().SendEntries(peers[i].peer_address, ToThrift({entry}));
  }
}

}  // namespace limpetlever
