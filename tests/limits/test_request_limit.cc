#include <criterion/criterion.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "limits/limit_sharers.h"
#include "limits/request_limit.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kWindow = std::chrono::seconds(4);
constexpr duration kStep = milliseconds(50);

/** The most requests that a server with this limit may get in kWindow, by the users' rule. */
double MostAllowed(double limit) {
  return 1.5 * limit * 4.0 + 5.0;
}

std::vector<std::string> HostNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

/** Hosts that each have more requests for one server than they may send. */
struct fleet {
  fleet(int count, double limit_per_s) : names(HostNames(count)), limit(limit_per_s) {
    hosts.resize(names.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      Believe(i, names);
      hosts[i].limit.OnNamed(limit, now);
    }
  }

  void Believe(std::size_t host, const std::vector<std::string>& in_use) {
    const limit_sharers sharers(names[host], in_use, static_cast<int>(in_use.size()));
    hosts[host].limit.SetShare(sharers.ShareOf("server"), now);
  }

  void Run(duration time) {
    for (const instant end = now + time; now < end; now += kStep) {
      for (host& item : hosts) {
        while (item.is_running && item.limit.MaySend(now)) {
          item.limit.OnSent(now);
          item.limit.OnNamed(limit, now);
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

  struct host {
    request_limit limit;
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

constexpr double kLimits[] = {0.0, 0.3, 1.6, 9.6, 22.5, 100.0};
constexpr int kSizes[] = {1, 2, 15, 33, 126, 2500};

}  // namespace

// Guards against hosts that each keep to a limit of their own and together exceed that of the
// server, and against a limit that is hardly used.
Test(request_limit, the_sum_over_a_fleet_of_any_size_is_bounded) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      tested.Run(seconds(40));
      cr_assert(static_cast<double>(tested.most) <= MostAllowed(limit), "%d hosts, limit %.1f: %zu",
                size, limit, tested.most);
      cr_assert(static_cast<double>(tested.total) >= 0.6 * limit * 40.0 - 2.0,
                "%d hosts, limit %.1f: %zu used", size, limit, tested.total);
    }
  }
}

// Guards against a sum that is exceeded while hosts know different parts of the fleet.
Test(request_limit, the_sum_is_bounded_while_hosts_believe_different_fleets) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      random_source random(7);
      for (int change = 0; change < 10; ++change) {
        for (std::size_t i = 0; i < tested.hosts.size(); ++i) {
          std::vector<std::string> known;
          for (const std::string& name : tested.names) {
            if (name == tested.names[i] || random.Unit() > 0.15) {
              known.push_back(name);
            }
          }
          if (size < 200 || change == 0) {
            tested.Believe(i, known);
          }
        }
        tested.Run(seconds(3));
      }
      cr_assert(static_cast<double>(tested.most) <= MostAllowed(limit), "%d hosts, limit %.1f: %zu",
                size, limit, tested.most);
    }
  }
}

// Guards against a burst of hosts that were frozen or cut off and saved up their part, or that
// start again and find the limit anew.
Test(request_limit, the_sum_is_bounded_when_hosts_freeze_and_restart) {
  for (const int size : kSizes) {
    for (const double limit : kLimits) {
      fleet tested(size, limit);
      for (int round = 0; round < 4; ++round) {
        for (std::size_t i = round % 2; i < tested.hosts.size(); i += 2) {
          tested.hosts[i].is_running = false;
        }
        tested.Run(seconds(6));
        for (std::size_t i = round % 2; i < tested.hosts.size(); i += 2) {
          tested.hosts[i].is_running = true;
          if (round >= 2) {
            tested.hosts[i].limit = request_limit();
            tested.Believe(i, tested.names);
            tested.hosts[i].limit.OnNamed(limit, tested.now);
          }
        }
        tested.Run(seconds(6));
      }
      cr_assert(static_cast<double>(tested.most) <= MostAllowed(limit), "%d hosts, limit %.1f: %zu",
                size, limit, tested.most);
    }
  }
}

// Guards against a limit that ends since an answer from before it arrives late, and against one
// that stays after the server no longer names it.
Test(request_limit, ends_with_an_answer_to_a_later_request) {
  request_limit limit;
  const instant start{seconds(10)};
  limit.OnNamed(1.0, start + seconds(1));
  limit.OnNotNamed(start);
  cr_assert(limit.IsNamed() && !limit.MaySend(start + seconds(1)));
  limit.OnNotNamed(start + seconds(2));
  cr_assert(!limit.IsNamed() && limit.MaySend(start + seconds(2)));
}
