#include <Poco/JSON/Object.h>

#include <charconv>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <limits>
#include <sstream>

#include "base/errc.h"
#include "base/json_reader.h"
#include "commands/command.h"
#include "commands/host_client.h"
#include "commands/read_file.h"
#include "commands/send_edit.h"
#include "table/edit_json.h"
#include "table/row_json.h"
#include "table/table_csv.h"
#include "table/table_json.h"

namespace limpetlever {

namespace {

namespace po = boost::program_options;

constexpr const char* kUsage =
    "table get|history --host IP:port [--format json|csv]\n"
    "       limpetlever table put FILE --host IP:port\n"
    "       limpetlever table edit KEY FIELD=VALUE... --host IP:port\n"
    "       limpetlever table edit --remove KEY --host IP:port\n"
    "       limpetlever table edit --file FILE --host IP:port\n\n"
    "A KEY is workload/NAME, service/NAME, data_centre/NAME or backend_server/ADDRESS.";

result<http_reply> FetchTable(const operator_options& options, const std::string& format) {
  host_client client(options.hosts);
  auto reply = client.Send({.address = {}, .path = "/v1/table?format=" + format}, resend::allowed);
  if (reply && reply->status != 200) {
    return failure{errc::not_ready, ErrorMessage(*reply)};
  }
  return reply;
}

exit_code ReportFailure(const failure& reason) {
  std::cerr << reason.message << "\n";
  return reason.code == errc::connection_failed || reason.code == errc::connection_lost
             ? exit_code::unreachable
             : exit_code::not_run;
}

exit_code RunGet(const operator_options& options) {
  const auto format = options.values["format"].as<std::string>();
  if (format != "json" && format != "csv") {
    throw po::error("--format \"" + format + "\": allowed: json, csv");
  }
  const auto reply = FetchTable(options, format);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  std::cout << reply->body << (format == "json" ? "\n" : "");
  return exit_code::success;
}

exit_code RunHistory(const operator_options& options) {
  const auto reply = FetchTable(options, "json");
  if (!reply) {
    return ReportFailure(reply.error());
  }
  const auto table = ParseTableJson(reply->body, "table");
  if (!table) {
    return ReportFailure(table.error());
  }
  if (options.json) {
    // Prints the history without the rows; `table get` prints the rows.
    operator_table history;
    history.version = table->version;
    history.edits = table->edits;
    std::cout << FormatTableJson(history) << "\n";
    return exit_code::success;
  }
  for (const recorded_edit& edit : table->edits) {
    const std::time_t seconds = edit.time_ms / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::cout << "version " << edit.version << "  " << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ")
              << "  " << (edit.author.empty() ? "-" : edit.author) << "  " << edit.summary << "  "
              << edit.id << "\n";
  }
  return exit_code::success;
}

bool IsCsv(const std::string& path) {
  return path.ends_with(".csv");
}

exit_code RunPut(const operator_options& options, const std::string& path) {
  const auto text = ReadFile(path);
  const auto table = !text         ? result<operator_table>(text.error())
                     : IsCsv(path) ? ParseTableCsv(*text, path)
                                   : ParseTableJson(*text, path);
  if (!table) {
    std::cerr << table.error().message << "\n";
    return exit_code::usage;
  }
  const edit_request edit = MakeEdit(options, "table put " + path.substr(path.rfind('/') + 1));
  Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
  body.set("id", edit.id);
  body.set("author", edit.author);
  body.set("summary", edit.summary);
  body.set("base_version", table->version);
  operator_table rows = *table;
  rows.edits.clear();
  const auto object = json_reader::ParseText(FormatTableJson(rows), path);
  body.set("table", *object);
  std::ostringstream out;
  body.stringify(out);
  return SendEdit(options, out.str());
}

/** Sets a field as boolean, integer, number or string, the first of these that the text is. */
void SetField(Poco::JSON::Object& row, const std::string& name, const std::string& text) {
  const char* const end = text.data() + text.size();
  std::int64_t integer = 0;
  double number = 0;
  if (text == "true" || text == "false") {
    row.set(name, text == "true");
  } else if (std::from_chars(text.data(), end, integer).ptr == end && !text.empty()) {
    row.set(name, integer);
  } else if (std::from_chars(text.data(), end, number).ptr == end && !text.empty()) {
    row.set(name, number);
  } else {
    row.set(name, text);
  }
}

template <typename Row>
void CopyFields(Poco::JSON::Object& object, const Row* row) {
  if (row != nullptr) {
    WriteRow(*row, object);
  }
}

result<table_row> MakeEditedRow(const operator_table& table,
                                const std::string& key,
                                const std::vector<std::string>& fields) {
  const std::size_t slash = key.find('/');
  const std::string kind = key.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : key.substr(slash + 1);
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
  object->set(kind == "backend_server" ? "address" : "name", name);
  if (kind == "workload") {
    CopyFields(*object, FindWorkload(table, name));
  } else if (kind == "service") {
    CopyFields(*object, FindService(table, name));
  } else if (kind == "data_centre") {
    CopyFields(*object, FindDataCentre(table, name));
  } else if (kind == "backend_server") {
    CopyFields(*object, FindBackendServer(table, name));
  } else {
    return failure{errc::invalid_input, "found the key \"" + key +
                                            "\"; allowed kinds: workload, service, data_centre, "
                                            "backend_server"};
  }
  for (const std::string& field : fields) {
    const std::size_t equals = field.find('=');
    if (equals == std::string::npos) {
      return failure{errc::invalid_input, "found \"" + field + "\"; allowed: FIELD=VALUE"};
    }
    SetField(*object, field.substr(0, equals), field.substr(equals + 1));
  }
  json_reader in(object, key);
  table_row row = ReadRow(in, kind);
  if (const auto error = in.Finish()) {
    return *error;
  }
  return row;
}

exit_code RunEdit(const operator_options& options, const std::vector<std::string>& words) {
  edit_request edit = MakeEdit(options, "table edit");
  if (options.values.count("file") > 0) {
    const auto path = options.values["file"].as<std::string>();
    const auto text = ReadFile(path);
    const auto read = text ? ParseEditJson(*text, path) : result<edit_request>(text.error());
    if (!read) {
      std::cerr << read.error().message << "\n";
      return exit_code::usage;
    }
    edit_request completed = *read;
    completed.id = completed.id.empty() ? edit.id : completed.id;
    completed.author = completed.author.empty() ? edit.author : completed.author;
    return SendEdit(options, FormatEditJson(completed));
  }
  if (options.values.count("remove") > 0) {
    const auto key = options.values["remove"].as<std::string>();
    edit.summary = "remove " + key;
    edit.changes.emplace_back(remove_row{key});
    return SendEdit(options, FormatEditJson(edit));
  }
  if (words.size() < 2) {
    throw po::error("table edit needs a KEY and at least one FIELD=VALUE, --remove or --file");
  }
  const auto reply = FetchTable(options, "json");
  if (!reply) {
    return ReportFailure(reply.error());
  }
  const auto table = ParseTableJson(reply->body, "table");
  if (!table) {
    return ReportFailure(table.error());
  }
  const auto row = MakeEditedRow(*table, words.front(), {words.begin() + 1, words.end()});
  if (!row) {
    std::cerr << row.error().message << "\n";
    return exit_code::usage;
  }
  edit.summary = "set";
  for (const std::string& word : words) {
    edit.summary += " " + word;
  }
  edit.base_version = table->version;
  edit.changes.emplace_back(set_row{*row});
  return SendEdit(options, FormatEditJson(edit));
}

}  // namespace

exit_code RunTable(const std::vector<std::string>& arguments) {
  po::options_description command_options;
  AddAuthorOption(command_options);
  command_options.add_options()("format", po::value<std::string>()->default_value("json"),
                                "get: json or csv")("file", po::value<std::string>(),
                                                    "edit: file with an edit in JSON")(
      "remove", po::value<std::string>(), "edit: key of the row to remove")(
      "word", po::value<std::vector<std::string>>()->required(),
      "get, put, edit or history, and its arguments");
  po::positional_options_description positional;
  positional.add("word", -1);
  const auto options = ParseOptions(arguments, kUsage, command_options, positional);
  if (!options) {
    return exit_code::success;
  }
  auto words = options->values["word"].as<std::vector<std::string>>();
  const std::string action = words.front();
  words.erase(words.begin());
  if (action == "edit") {
    return RunEdit(*options, words);
  }
  if (action == "put" && words.size() == 1) {
    return RunPut(*options, words.front());
  }
  if (action == "get" && words.empty()) {
    return RunGet(*options);
  }
  if (action == "history" && words.empty()) {
    return RunHistory(*options);
  }
  throw po::error("found \"table " + action + "\"; allowed: get, put FILE, edit, history");
}

}  // namespace limpetlever
