#include <criterion/criterion.h>

#include <string>

#include "drills/fleet_check.h"

using namespace limpetlever;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart = instant(seconds(1000));

fleet_check NewCheck() {
  return fleet_check([](const std::string&, instant) { return true; });
}

std::string Config(int version, const std::string& service) {
  return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"prefix":"/a/","service":")" +
         service + "\"}]}";
}

void WriteConfig(fleet_check& check, instant now, int version, const std::string& service) {
  const std::string value = Config(version, service);
  check.OnStoreChange(now, "op/config", &value);
}

void Answer(fleet_check& check, instant now, int status, const std::string& service) {
  check.OnOutcome(now, "host-1",
                  {.id = "1",
                   .prefix = "/a/",
                   .sent = now - milliseconds(5),
                   .status = status,
                   .service = service});
}

bool HasOnly(const fleet_check& check, const std::string& rule) {
  return check.violation_count() == 1 &&
         check.violations()[0].find(rule + ":") != std::string::npos;
}

}  // namespace

// The following tests guard against checks that let a soak pass whatever the hosts do.

Test(fleet_check, an_old_version_counts_three_seconds_after_the_next_one) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  WriteConfig(check, kStart + seconds(5), 2, "south");
  Answer(check, kStart + seconds(7), 200, "north");
  Answer(check, kStart + seconds(8), 200, "north");
  cr_assert(check.violation_count() == 0);
  Answer(check, kStart + milliseconds(8100), 200, "north");
  cr_assert(HasOnly(check, "CONFIG"));
}

Test(fleet_check, a_missing_route_counts) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  Answer(check, kStart + seconds(5), 404, "");
  cr_assert(HasOnly(check, "DENIED"));
}

Test(fleet_check, nothing_counts_until_the_store_is_stable) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  WriteConfig(check, kStart + seconds(5), 2, "south");
  check.OnStoreAway(kStart + seconds(9));
  check.OnStoreReturn(kStart + seconds(10));
  Answer(check, kStart + milliseconds(13'900), 200, "north");
  cr_assert(check.violation_count() == 0);
  Answer(check, kStart + milliseconds(14'100), 200, "north");
  cr_assert(HasOnly(check, "CONFIG"));
}

Test(fleet_check, a_host_that_goes_back_counts_at_any_time) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  WriteConfig(check, kStart + seconds(5), 2, "south");
  Answer(check, kStart + seconds(6), 200, "south");
  check.OnStoreAway(kStart + seconds(7));
  WriteConfig(check, kStart + seconds(8), 1, "north");
  check.OnStoreReturn(kStart + seconds(8));
  Answer(check, kStart + milliseconds(8500), 200, "north");
  cr_assert(HasOnly(check, "ROLLBACK"));
}

Test(fleet_check, a_restarted_host_may_begin_with_an_older_version) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  WriteConfig(check, kStart + seconds(5), 2, "south");
  Answer(check, kStart + seconds(6), 200, "south");
  check.OnStoreAway(kStart + seconds(7));
  WriteConfig(check, kStart + seconds(8), 1, "north");
  check.OnStoreReturn(kStart + seconds(8));
  check.OnHostDisrupted(kStart + milliseconds(8100), "host-1");
  Answer(check, kStart + milliseconds(8500), 200, "north");
  cr_assert(check.violation_count() == 0);
}

Test(fleet_check, a_draining_server_gets_nothing_after_three_seconds) {
  fleet_check check = NewCheck();
  const std::string value = R"({"state":"draining"})";
  check.OnStoreChange(kStart, "servers/i-1", &value);
  const auto arrive = [&](instant now) { check.OnArrival(now, now, "host-1", "i-1", "dc-a"); };
  arrive(kStart + milliseconds(2900));
  cr_assert(check.violation_count() == 0);
  arrive(kStart + milliseconds(3100));
  cr_assert(HasOnly(check, "DRAIN"));
}

Test(fleet_check, an_evacuated_data_centre_gets_nothing_after_five_seconds) {
  fleet_check check = NewCheck();
  const std::string value = "{}";
  check.OnStoreChange(kStart, "op/evacuate/dc-a", &value);
  const auto arrive = [&](instant now) { check.OnArrival(now, now, "host-1", "i-1", "dc-a"); };
  arrive(kStart + milliseconds(4900));
  cr_assert(check.violation_count() == 0);
  arrive(kStart + milliseconds(5100));
  cr_assert(HasOnly(check, "EVAC"));
}

Test(fleet_check, refusals_in_a_row_count_and_single_ones_do_not) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  for (int second = 10; second <= 14; ++second) {
    Answer(check, kStart + seconds(second), 503, "");
  }
  Answer(check, kStart + seconds(14), 200, "north");
  Answer(check, kStart + seconds(15), 503, "");
  cr_assert(HasOnly(check, "REFUSED"));
  Answer(check, kStart + seconds(16), 200, "north");
  Answer(check, kStart + seconds(30), 503, "");
  cr_assert(check.violation_count() == 1);
}

Test(fleet_check, a_host_that_starts_without_the_store_may_refuse_until_that_is_stable) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  check.OnStoreAway(kStart + seconds(10));
  check.OnHostDisrupted(kStart + seconds(11), "host-1");
  check.OnStoreReturn(kStart + seconds(18));
  for (int second = 12; second <= 26; ++second) {
    Answer(check, kStart + seconds(second), 503, "");
  }
  cr_assert(check.violation_count() == 0);
  Answer(check, kStart + seconds(28), 503, "");
  cr_assert(HasOnly(check, "REFUSED"));
}

Test(fleet_check, a_host_that_has_read_the_store_serves_during_an_outage) {
  fleet_check check = NewCheck();
  WriteConfig(check, kStart, 1, "north");
  check.OnHostDisrupted(kStart, "host-1");
  check.OnStoreAway(kStart + seconds(10));
  for (int second = 11; second <= 16; ++second) {
    Answer(check, kStart + seconds(second), 503, "");
  }
  cr_assert(HasOnly(check, "REFUSED"));
}
