#include <criterion/criterion.h>

#include "base/json_reader.h"
#include "events/events_json.h"
#include "http/test_host.h"
#include "table/table_csv.h"

using namespace limpetlever;

namespace {

const std::string kTakeOutEast =
    R"({"id":"e1","author":"a","changes":[{"out":"data_centre/east"}]})";

}  // namespace

// Guards against an edit that is stored twice when it is sent again, or that the host which stored
// it has not yet adopted when it answers.
Test(operator_routes, an_edit_is_stored_once_and_in_force_at_once) {
  test_host host;
  const http_reply first = host.Call("POST", "/v1/table", kTakeOutEast);
  cr_assert(first.status == 200, "%s", first.body.c_str());
  cr_assert(host.server().state().table()->version == 2);
  cr_assert(FindDataCentre(*host.server().state().table(), "east")->taken_out);
  const auto entries = host.server().gossip().Get({"table"});
  cr_assert(entries.size() == 1 && entries[0].version == 2 && entries[0].incarnation == 0);
  cr_assert(host.Call("POST", "/v1/table", kTakeOutEast).status == 200);
  cr_assert(host.server().state().table()->version == 2);
}

// Guards against a stale edit that overwrites a later edit of the same row; the answer names the
// row.
Test(operator_routes, a_stale_edit_of_the_same_row_conflicts) {
  test_host host;
  host.Call("POST", "/v1/table", kTakeOutEast);
  const http_reply reply = host.Call(
      "POST", "/v1/table",
      R"({"base_version":1,"changes":[{"in":"data_centre/east"},{"out":"data_centre/north"}]})");
  cr_assert(reply.status == 409);
  cr_assert(reply.body.find(R"("conflicting_rows":["data_centre/east"])") != std::string::npos,
            "%s", reply.body.c_str());
}

// Guards against a posted table that reverts another row, edited after its base version.
Test(operator_routes, a_whole_table_changes_only_what_differs_from_its_base) {
  test_host host;
  const auto fetched = ParseTableCsv(host.Call("GET", "/v1/table?format=csv").body, "t");
  cr_assert(fetched);
  operator_table wanted = *fetched;
  wanted.data_centres[1].weight = 0.5;
  host.Call("POST", "/v1/table", kTakeOutEast);
  const http_reply reply =
      host.Call("POST", "/v1/table?format=csv&author=b", FormatTableCsv(wanted));
  cr_assert(reply.status == 200, "%s", reply.body.c_str());
  const auto table = host.server().state().table();
  cr_assert(table->version == 3 && FindDataCentre(*table, "east")->taken_out);
  cr_assert(FindDataCentre(*table, "north")->weight == 0.5);
  const http_reply unknown =
      host.Call("POST", "/v1/table", R"({"base_version":99,"table":{"version":99}})");
  cr_assert(unknown.status == 409, "%s", unknown.body.c_str());
}

// Guards against advising callers to use a host that operators have taken out.
Test(operator_routes, a_host_that_is_out_is_not_advised) {
  test_host host;
  cr_assert(host.Call("GET", "/v1/hosts").body.find(host.address()) != std::string::npos);
  host.Call("POST", "/v1/table", R"({"changes":[{"out":"host/h"}]})");
  cr_assert(host.Call("GET", "/v1/hosts").body.find(host.address()) == std::string::npos);
}

// Guards against events that cannot be read page by page, from a sequence number on.
Test(operator_routes, events_are_read_in_parts) {
  test_host host;
  host.Call("POST", "/v1/table", kTakeOutEast);
  const auto all = ParseHostEvents(host.Call("GET", "/v1/events").body, "t");
  cr_assert(all && all->events.size() >= 3);
  const auto part = ParseHostEvents(host.Call("GET", "/v1/events?after=1&most=1").body, "t");
  cr_assert(part && part->events.size() == 1 && part->events[0] == all->events[1]);
}

// Guards against a status answer without one of the sections that operators use.
Test(operator_routes, status_shows_hosts_limits_and_versions) {
  test_host host;
  const http_reply reply = host.Call("GET", "/v1/status");
  const auto root = json_reader::ParseText(reply.body, "t");
  cr_assert(root);
  for (const char* key : {"host", "table_version", "view_epoch", "hosts", "data_centres",
                          "services", "replicas", "bad_input"}) {
    cr_assert((*root)->has(key), "%s", key);
  }
}
