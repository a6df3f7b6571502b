#include <criterion/criterion.h>

#include <set>
#include <string>

#include "base/random_source.h"
#include "table/csv_text.h"
#include "table/edit_json.h"
#include "table/sample_table.h"
#include "table/table_csv.h"
#include "table/table_json.h"

using namespace limpetlever;

namespace {

struct invalid_table {
  const char* from;
  const char* to;
  const char* message;
};

std::string Mutate(std::string text, random_source& random) {
  const std::string bytes = "\",:{}[]\r\n-+eE0919.\\u\0\xff\xefxtf ";
  for (std::uint64_t n = 1 + random.Below(6); n > 0 && !text.empty(); --n) {
    const std::size_t position = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[position] = bytes[random.Below(bytes.size())];
        break;
      case 1:
        text.erase(position, 1 + random.Below(20));
        break;
      case 2:
        text.insert(position, text.substr(random.Below(text.size()), random.Below(30)));
        break;
      default:
        text.resize(position);
    }
  }
  return text;
}

}  // namespace

// Guards against values that change when a table is written to a file and read back.
Test(table_text, json_and_csv_read_back_to_the_same_table) {
  const operator_table table = SampleTable();
  const auto json = ParseTableJson(FormatTableJson(table), "t");
  cr_assert(json);
  cr_assert(*json == table);
  const auto csv = ParseTableCsv(FormatTableCsv(table), "t");
  cr_assert(csv, "%s", csv ? "" : csv.error().message.c_str());
  operator_table expected = table;
  expected.edits.clear();
  cr_assert(*csv == expected);
}

// Guards against refusing CSV files that a spreadsheet program has saved.
Test(table_text, csv_from_a_spreadsheet_program_is_accepted) {
  const auto read = ParseTableCsv(
      "\xEF\xBB\xBFrow,name,region,weight,out,,\n\"data_centre\",north,r,0.5,TRUE,,\n\n,,,,,,\n",
      "t");
  cr_assert(read, "%s", read ? "" : read.error().message.c_str());
  cr_assert(read->data_centres.front().taken_out);
  const auto records = ParseCsv("a,\"b,\"\"c\"\"\r\nd\",\r\n", "t");
  cr_assert(records);
  cr_assert(records->front().cells == std::vector<std::string>({"a", "b,\"c\"\r\nd", ""}));
  cr_assert(FormatCsvRecord(records->front().cells) == "a,\"b,\"\"c\"\"\r\nd\",\r\n");
}

// Guards against an error in a table that is not reported or is reported at the wrong place.
Test(table_text, each_error_has_its_own_message) {
  const std::string good =
      R"({"version":1,"workloads":[{"name":"w","kind":"query"}],)"
      R"("services":[{"name":"s","workload":"w","slots":2,"connections":9,"connection_cost_ms":6}],)"
      R"("data_centres":[{"name":"d","region":"r"}],)"
      R"("backend_servers":[{"address":"1.2.3.4:5","service":"s","data_centre":"d"}]})";
  cr_assert(ParseTableJson(good, "t"));
  const invalid_table invalid_tables[] = {
      {"\"slots\"", "\"slot\"", "t: services[0].slots is missing"},
      {"\"region\":\"r\"", "\"region\":\"r\",\"wieght\":1",
       "t: data_centres[0].wieght is not a known key"},
      {"\"slots\":2", "\"slots\":\"2\"",
       "t: services[0].slots must be a whole number; found \"2\""},
      {"\"slots\":2", "\"slots\":0", "t: services[0].slots found 0; allowed: 1 to 10000"},
      {"\"kind\":\"query\"", "\"kind\":\"read\"",
       "t: workloads[0].kind found \"read\"; allowed: query, submission"},
      {"\"workload\":\"w\"", "\"workload\":\"v\"", "t: service \"s\": workload \"v\" has no row"},
      {"\"service\":\"s\"", "\"service\":\"z\"",
       "t: backend server \"1.2.3.4:5\": service \"z\" has no row"},
      {"\"data_centre\":\"d\"", "\"data_centre\":\"e\"",
       "t: backend server \"1.2.3.4:5\": data_centre \"e\" has no row"},
      {"1.2.3.4:5", "1.2.3.4",
       "t: backend_servers: found the address \"1.2.3.4\"; allowed: an IPv4 number and a port, as "
       "in 127.0.0.1:8080"},
      {"{\"name\":\"d\",\"region\":\"r\"}",
       "{\"name\":\"d\",\"region\":\"r\"},{\"name\":\"d\",\"region\":\"q\"}",
       "t: data_centres: two rows for \"d\""},
  };
  std::set<std::string> seen;
  for (const invalid_table& invalid : invalid_tables) {
    std::string text = good;
    text.replace(text.find(invalid.from), std::string(invalid.from).size(), invalid.to);
    const auto read = ParseTableJson(text, "t");
    cr_assert(!read, "%s", invalid.message);
    cr_assert(read.error().message == invalid.message, "%s", read.error().message.c_str());
    cr_assert(seen.insert(read.error().message).second);
  }
}

// Guards against messages about CSV errors that lack the line or the column.
Test(table_text, csv_errors_name_line_and_column) {
  const std::string header = "row,name,region,weight,slots\n";
  const std::pair<const char*, const char*> files[] = {
      {"data_centre,d,r,heavy,\n", "t: line 2.weight must be a number; found \"heavy\""},
      {"data_centre,d,r,1,2\n", "t: line 2.slots is not a known key"},
      {"\nrack,d,r,1,\n",
       "t: line 3.row found \"rack\"; allowed: workload, service, data_centre, backend_server, "
       "host_out, table"},
      {"data_centre,\"d,r,1,\n", "t: line 2: the quoted cell is not closed"},
      {"data_centre,d,r,1,,,\n", "t: line 2: more cells than columns"},
  };
  for (const auto& [rows, message] : files) {
    const auto read = ParseTableCsv(header + rows, "t");
    cr_assert(!read);
    cr_assert(read.error().message == message, "%s", read.error().message.c_str());
  }
}

// Guards against crashes on damaged files, and against accepting a table or an edit that cannot be
// written and read back; 20,000 seeded mutations of each format.
Test(table_text, damaged_files_are_refused_or_read_completely) {
  const std::string json = FormatTableJson(SampleTable());
  const std::string csv = FormatTableCsv(SampleTable());
  edit_request edit{.id = "i", .author = "a", .summary = "s"};
  edit.changes.emplace_back(set_row{SampleTable().services.front()});
  edit.changes.emplace_back(set_taken_out{"host/h", true});
  const std::string edit_text = FormatEditJson(edit);
  random_source random(20261204);
  for (int i = 0; i < 20'000; ++i) {
    const auto from_json = ParseTableJson(Mutate(json, random), "t");
    if (from_json) {
      const auto again = ParseTableJson(FormatTableJson(*from_json), "t");
      cr_assert(again);
      cr_assert(*again == *from_json);
    }
    const auto from_csv = ParseTableCsv(Mutate(csv, random), "t");
    if (from_csv) {
      const auto again = ParseTableCsv(FormatTableCsv(*from_csv), "t");
      cr_assert(again);
      cr_assert(*again == *from_csv);
    }
    const auto from_edit = ParseEditJson(Mutate(edit_text, random), "t");
    if (from_edit) {
      const auto again = ParseEditJson(FormatEditJson(*from_edit), "t");
      cr_assert(again);
      cr_assert(*again == *from_edit);
    }
  }
}
