#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "drills/drill_plan.h"
#include "drills/drill_run.h"

using namespace limpetlever;

namespace {

std::string Setting(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

std::string NewFolder(const std::string& parent, std::uint64_t seed) {
  std::string path = parent + "/drill-" + std::to_string(seed) + "-XXXXXX";
  cr_assert(mkdtemp(path.data()) != nullptr, "no folder in %s", parent.c_str());
  return path;
}

}  // namespace

// Guards against hosts that stop following configurations, drains, removals or evacuations after
// the store has returned from a copy and gives revisions out again: each host once refused all that
// the store said until its revisions had passed the known ones. scripts/drill plays longer runs.
Test(drills, hosts_follow_a_store_that_returns_from_a_copy) {
  const std::uint64_t seed = std::stoull(Setting("LIMPETLEVER_DRILL_SEED", "6"));
  const auto length = std::chrono::seconds(std::stoll(Setting("LIMPETLEVER_DRILL_SECONDS", "28")));
  const std::string folder = NewFolder(
      Setting("LIMPETLEVER_DRILL_LOGS", std::filesystem::temp_directory_path().string()), seed);
  drill_plan plan = MakeDrillPlan(seed, length);
  plan.has_copies = Setting("LIMPETLEVER_DRILL_COPIES", "1") != "0";
  std::cout << Describe(plan);
  const drill_run::report report =
      drill_run(plan, {.program = Setting("LIMPETLEVER_DRILL_PROGRAM", NODE_PROGRAM),
                       .folder = folder,
                       .host_count = std::stoi(Setting("LIMPETLEVER_DRILL_HOSTS", "3")),
                       .server_count = std::stoi(Setting("LIMPETLEVER_DRILL_SERVERS", "12"))})
          .Play();
  for (const std::string& line : report.violations) {
    std::cout << line << "\n";
  }
  std::cout << report.request_count << " requests, " << report.checked_count << " checked, "
            << report.violation_count << " violations" << std::endl;
  cr_assert(!plan.outages.empty(), "the plan has no outage");
  cr_assert(report.checked_count > 0, "no request was checked");
  cr_assert(report.violation_count == 0, "%zu violations; the logs are in %s",
            report.violation_count, folder.c_str());
  std::filesystem::remove_all(folder);
}
