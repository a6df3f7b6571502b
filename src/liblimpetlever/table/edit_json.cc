#include "table/edit_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <limits>
#include <sstream>

#include "base/errc.h"
#include "base/json_reader.h"
#include "table/row_json.h"

namespace limpetlever {

namespace {

constexpr std::size_t kMaxTextLength = 500;

std::string ReadText(json_reader& in, const std::string& key) {
  std::string text = in.StringOr(key, "");
  if (text.size() > kMaxTextLength) {
    in.Fail(key, "is longer than " + std::to_string(kMaxTextLength) + " characters");
  }
  return text;
}

table_change ReadChange(json_reader& in) {
  const std::vector<std::string> kinds = {"set", "remove", "out", "in"};
  const auto given_kinds =
      std::count_if(kinds.begin(), kinds.end(), [&in](const auto& kind) { return in.Has(kind); });
  if (given_kinds != 1) {
    in.Fail("set", "or remove, out or in: exactly one must be given");
    return remove_row{};
  }
  if (in.Has("set")) {
    json_reader row = in.Object("set");
    const std::string kind = row.StringOneOf("row", RowKinds());
    set_row change{ReadRow(row, kind)};
    in.TakeErrorFrom(row);
    return change;
  }
  if (in.Has("remove")) {
    return remove_row{in.String("remove")};
  }
  const bool out = in.Has("out");
  return set_taken_out{in.String(out ? "out" : "in"), out};
}

struct change_writer {
  Poco::JSON::Object& out;

  void operator()(const set_row& change) const {
    Poco::JSON::Object::Ptr row = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    row->set("row", RowKey(change.row).substr(0, RowKey(change.row).find('/')));
    WriteRow(change.row, *row);
    out.set("set", row);
  }
  void operator()(const remove_row& change) const { out.set("remove", change.key); }
  void operator()(const set_taken_out& change) const {
    out.set(change.taken_out ? "out" : "in", change.key);
  }
};

}  // namespace

result<edit_request> ParseEditJson(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  edit_request edit{
      .id = ReadText(in, "id"),
      .author = ReadText(in, "author"),
      .summary = ReadText(in, "summary"),
      .time_ms = 0,
      .base_version = in.IntegerOr("base_version", 0, std::numeric_limits<std::int64_t>::max(), 0),
      .changes = {}};
  for (json_reader& change : in.ObjectsOrEmpty("changes")) {
    edit.changes.push_back(ReadChange(change));
    in.TakeErrorFrom(change);
  }
  if (edit.changes.empty()) {
    in.Fail("changes", "must hold at least one change");
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return edit;
}

std::string FormatEditJson(const edit_request& edit) {
  Poco::JSON::Array::Ptr changes = new Poco::JSON::Array;
  for (const table_change& change : edit.changes) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
    std::visit(change_writer{*item}, change);
    changes->add(item);
  }
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  root.set("id", edit.id);
  root.set("author", edit.author);
  root.set("summary", edit.summary);
  root.set("base_version", edit.base_version);
  root.set("changes", changes);
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

}  // namespace limpetlever
