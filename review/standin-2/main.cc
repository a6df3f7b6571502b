#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

int main(int argc, char** argv) {
  const std::map<std::string, int (*)(review::stage&)> cases = {
      {"short-outage", review::RunShortOutage}, {"odd-key", review::RunOddKey},
      {"cold-replica", review::RunColdReplica}, {"late-check-in", review::RunLateCheckIn},
      {"odd-number", review::RunOddNumber},     {"poison", review::RunPoison}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (argc != 3 || found == cases.end()) {
    std::cerr << "usage: case NAME RECORD\n";
    return review::kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  review::stage on(argv[2]);
  return found->second(on);
}
