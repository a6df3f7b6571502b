#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "limits/limit_sharers.h"
#include "limits/warm_up_limit.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kWindow = seconds(1);
constexpr duration kStep = milliseconds(2);
constexpr duration kWarmUp = seconds(600);
// Time after its start in which a host has no part, since it does not know the others.
constexpr duration kSettlingTime = milliseconds(2500);
constexpr double kLimits[] = {0.2, 1.0, 2.0, 10.0, 22.5, 100.0};
constexpr int kSizes[] = {1, 2, 12, 33, 126, 2500};

/** The most requests that a cold server may get in a second, by the users' rule. */
double MostAllowed(double limit) {
  return 1.5 * limit + 5.0;
}

std::vector<std::string> HostNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

/** Hosts that each have more requests for one cold server than they may send. */
struct fleet {
  fleet(int count, double limit_per_s) : names(HostNames(count)), limit(limit_per_s) {
    hosts.resize(names.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      Start(i, names, true);
    }
  }

  void Start(std::size_t i, const std::vector<std::string>& in_use, bool is_settled) {
    hosts[i] = {};
    hosts[i].limit.SetService(limit, kWarmUp, now);
    Believe(i, in_use, is_settled);
    hosts[i].limit.OnColdUntil(now + kWarmUp, now);
  }

  void Believe(std::size_t i, const std::vector<std::string>& in_use, bool is_settled = true) {
    const limit_sharers sharers(names[i], in_use, static_cast<int>(in_use.size()));
    hosts[i].limit.SetShare(sharers.ShareOf("server"), is_settled, now);
  }

  void Run(duration time) {
    for (const instant end = now + time; now < end; now += kStep) {
      for (host& item : hosts) {
        for (int burst = 0; burst < 100 && item.is_running && item.limit.NextSend(now) <= now;
             ++burst) {
          item.limit.OnSent(now);
          sent.push_back(now);
          ++total;
        }
      }
      while (!sent.empty() && now - sent.front() >= kWindow) {
        sent.pop_front();
      }
      most = std::max(most, sent.size());
    }
  }

  void CheckBound(const char* what) const {
    cr_assert(static_cast<double>(most) <= MostAllowed(limit), "%s: %zu hosts, limit %.1f: %zu",
              what, hosts.size(), limit, most);
  }

  struct host {
    warm_up_limit limit;
    bool is_running = true;
  };
  std::vector<std::string> names;
  double limit;
  instant now{seconds(100)};
  std::vector<host> hosts;
  std::deque<instant> sent;
  std::size_t most = 0;
  std::size_t total = 0;
};

}  // namespace

// Guards against hosts that each keep to a limit of their own and together exceed what a cold
// server can handle, and against a limit that is hardly used.
Test(warm_up_limit, the_sum_over_a_fleet_of_any_size_is_bounded) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      tested.Run(seconds(20));
      tested.CheckBound("all agree");
      cr_assert(static_cast<double>(tested.most) <= limit + 1.0, "%zu", tested.most);
      cr_assert(static_cast<double>(tested.total) >= 0.6 * limit * 20.0 - 2.0,
                "%d hosts, limit %.1f: %zu used", size, limit, tested.total);
    }
  }
}

// Guards against a sum that is exceeded while hosts know different parts of the fleet.
Test(warm_up_limit, the_sum_is_bounded_while_hosts_believe_different_fleets) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      random_source random(7);
      for (int change = 0; change < (size < 200 ? 10 : 2); ++change) {
        for (std::size_t i = 0; i < tested.hosts.size(); ++i) {
          std::vector<std::string> known;
          for (const std::string& name : tested.names) {
            if (name == tested.names[i] || random.Unit() > 0.25) {
              known.push_back(name);
            }
          }
          tested.Believe(i, known);
        }
        tested.Run(seconds(3));
      }
      tested.CheckBound("a quarter is unknown");
    }
  }
}

// Guards against hosts that are cut off from the others and take their whole part, while those
// take it for gone.
Test(warm_up_limit, the_sum_is_bounded_while_half_of_the_hosts_are_cut_off) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      // The list of the store lacks the hosts that are cut off, which know all others still.
      const std::vector<std::string> connected(
          tested.names.begin(), tested.names.begin() + static_cast<std::ptrdiff_t>(size / 2));
      for (std::size_t i = 0; i < connected.size(); ++i) {
        tested.Believe(i, connected);
      }
      tested.Run(seconds(5));
      tested.CheckBound("half is cut off");
    }
  }
}

// Guards against hosts that start again and take the whole limit before they know the others, and
// against a part that two hosts use within a second when it passes from one to the other.
Test(warm_up_limit, the_sum_is_bounded_while_hosts_stop_and_start) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      random_source random(3);
      for (int round = 0; round < (size < 200 ? 10 : 2); ++round) {
        std::vector<std::string> running;
        std::vector<std::size_t> started;
        for (std::size_t i = 0; i < tested.hosts.size(); ++i) {
          const bool runs = random.Unit() < 0.6;
          if (runs && !tested.hosts[i].is_running) {
            tested.Start(i, {tested.names[i]}, false);
            started.push_back(i);
          }
          tested.hosts[i].is_running = runs;
          if (runs) {
            running.push_back(tested.names[i]);
          }
        }
        for (std::size_t i = 0; i < tested.hosts.size(); ++i) {
          if (std::find(started.begin(), started.end(), i) == started.end()) {
            tested.Believe(i, running);
          }
        }
        tested.Run(kSettlingTime);
        for (const std::size_t i : started) {
          tested.Believe(i, running);
        }
        tested.Run(seconds(2));
      }
      tested.CheckBound("hosts stop and start");
    }
  }
}

// Guards against a server that has turned cold again and gets its first requests from all hosts at
// once, and against a limit that outlasts the warm-up.
Test(warm_up_limit, it_holds_each_time_that_the_server_is_cold) {
  fleet tested(12, 10.0);
  for (fleet::host& host : tested.hosts) {
    host.limit.OnColdUntil(tested.now, tested.now);
    cr_assert(host.limit.NextSend(tested.now) == tested.now);
    host.limit.OnColdUntil(tested.now + seconds(3), tested.now);
  }
  tested.Run(seconds(3));
  tested.CheckBound("cold again");
  for (const fleet::host& host : tested.hosts) {
    cr_assert(host.limit.NextSend(tested.now) == tested.now);
  }
}

// Guards against hosts that keep to the old value when the configuration names another one.
Test(warm_up_limit, a_changed_limit_holds_at_once) {
  fleet tested(12, 100.0);
  tested.Run(seconds(3));
  for (fleet::host& host : tested.hosts) {
    host.limit.SetService(2.0, kWarmUp, tested.now);
  }
  tested.limit = 2.0;
  tested.sent.clear();
  tested.most = 0;
  tested.Run(seconds(10));
  tested.CheckBound("100 a second before");
  for (fleet::host& host : tested.hosts) {
    host.limit.SetService(0.0, kWarmUp, tested.now);
    cr_assert(host.limit.NextSend(tested.now) == tested.now);
  }
}

// Guards against a process that has replaced one which could not be reached, and gets all requests
// because its entry is not known yet.
Test(warm_up_limit, a_server_that_was_unreachable_is_assumed_to_be_cold) {
  const instant now(seconds(100));
  warm_up_limit limit;
  limit.SetService(10.0, seconds(3), now);
  limit.OnUnreachable(now);
  cr_assert(limit.IsAssumed(now + seconds(2)) && !limit.IsAssumed(now + seconds(3)));
  limit.OnChecked(now + seconds(1));
  cr_assert(!limit.IsLimiting(now + seconds(1)));
  limit.OnColdUntil(now + seconds(4), now + seconds(1));
  cr_assert(limit.IsLimiting(now + seconds(3)) && !limit.IsAssumed(now + seconds(3)));
}

// Guards against an interval that is out of the range of its type.
Test(warm_up_limit, an_odd_limit_is_kept) {
  for (const double limit : {1e-300, 1e-9, 1e9}) {
    fleet tested(3, limit);
    tested.Run(seconds(3));
    tested.CheckBound("odd limit");
  }
}

// Guards against a limit where the configuration names none.
Test(warm_up_limit, without_a_configured_limit_nothing_is_limited) {
  const instant now(seconds(100));
  warm_up_limit limit;
  limit.SetService(0.0, seconds(3), now);
  limit.OnColdUntil(now + seconds(3), now);
  limit.OnUnreachable(now);
  cr_assert(limit.NextSend(now) == now && !limit.IsLimiting(now) && !limit.IsAssumed(now));
}
