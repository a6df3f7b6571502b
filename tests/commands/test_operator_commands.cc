#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "commands/command_line.h"
#include "commands/exit_code.h"
#include "http/test_host.h"
#include "table/table_csv.h"

using namespace limpetlever;

namespace {

struct command_run {
  exit_code code;
  std::string output;
  std::string errors;
};

command_run Run(std::vector<std::string> words) {
  words.insert(words.begin(), "limpetlever");
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  std::ostringstream output;
  std::ostringstream errors;
  auto* old_output = std::cout.rdbuf(output.rdbuf());
  auto* old_errors = std::cerr.rdbuf(errors.rdbuf());
  const int code = RunCommandLine(static_cast<int>(arguments.size()), arguments.data());
  std::cout.rdbuf(old_output);
  std::cerr.rdbuf(old_errors);
  return {static_cast<exit_code>(code), output.str(), errors.str()};
}

/** A loopback address whose port is closed. */
std::string ClosedAddress() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

}  // namespace

// Guards against wrong output or a wrong exit code for an edit, and against a command that fails
// because the first of its hosts is unreachable.
Test(operator_commands, edits_are_reported_with_their_exit_code) {
  test_host host;
  const std::vector<std::string> host_options = {"--host", ClosedAddress(), "--host",
                                                 host.address()};
  const auto run = [&host_options](std::vector<std::string> words) {
    words.insert(words.end(), host_options.begin(), host_options.end());
    return Run(words);
  };
  const command_run out = run({"data-centre", "out", "east"});
  cr_assert(out.code == exit_code::success, "%s", out.errors.c_str());
  cr_assert(out.output == "stored as version 2; in force on 1 of 1 hosts; missing: none\n");
  const command_run json = run({"host", "out", "h9", "--output", "json"});
  cr_assert(json.output ==
            "{\"verdict\":\"ran\",\"version\":3,\"in_force\":1,\"hosts\":1,\"missing\":[]}\n");
  cr_assert(run({"data-centre", "out", "west"}).code == exit_code::usage);
  cr_assert(run({"table", "edit", "service/m", "slots=7"}).code == exit_code::success);
  cr_assert(FindService(*host.server().state().table(), "m")->slots == 7);
  cr_assert(run({"table", "history"}).output.find("set service/m slots=7") != std::string::npos);
  cr_assert(run({"timeline", "--number", "701"}).output.find("edit_accepted") != std::string::npos);
  cr_assert(run({"query", "--workload", "none"}).code == exit_code::usage);
  cr_assert(run({"submit", "--workload", "matching", "--key", "k"}).code != exit_code::success);
}

// Guards against an old table file that overwrites a newer edit.
Test(operator_commands, an_outdated_table_file_is_refused_with_the_conflicting_rows) {
  test_host host;
  char path[] = "/tmp/limpetlever-table-XXXXXX.csv";
  cr_assert(mkstemps(path, 4) >= 0);
  operator_table table = *host.server().state().table();
  Run({"table", "get", "--host", host.address()});
  Run({"data-centre", "out", "east", "--host", host.address()});
  table.data_centres[0].weight = 0.1;
  std::ofstream(path) << FormatTableCsv(table);
  const command_run put = Run({"table", "put", path, "--host", host.address()});
  cr_assert(put.code == exit_code::not_run);
  cr_assert(put.errors.find("conflicting row: data_centre/east") != std::string::npos, "%s",
            put.errors.c_str());
  cr_assert(Run({"check-table", path}).code == exit_code::success);
  std::remove(path);
}

// Guards against exit codes that differ from docs/operators/command-line.md.
Test(operator_commands, wrong_options_and_unreachable_hosts_have_their_exit_codes) {
  cr_assert(Run({"status", "--host", ClosedAddress()}).code == exit_code::unreachable);
  cr_assert(Run({"host", "out", "h", "--host", ClosedAddress()}).code == exit_code::unreachable);
  cr_assert(Run({"status"}).code == exit_code::usage);
  cr_assert(Run({"status", "--host", "nowhere"}).code == exit_code::usage);
  cr_assert(Run({"data-centre", "away", "east", "--host", "127.0.0.1:1"}).code == exit_code::usage);
  cr_assert(Run({"check-settings", "/nowhere", "--output", "json"}).code == exit_code::usage);
  for (const char* name :
       {"serve", "query", "submit", "table", "data-centre", "host", "backend-server", "status",
        "timeline", "check-table", "check-settings"}) {
    cr_assert(Run({name, "--help"}).code == exit_code::success, "%s", name);
  }
}
