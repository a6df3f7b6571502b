#include <criterion/criterion.h>

#include "limits/lost_requests.h"

using namespace limpetlever;
using std::chrono::seconds;

// Guards against suspecting requests of the crash of another server, or of a crash long after their
// connection was lost, and against unbounded memory while connections are reset.
Test(lost_requests, only_recent_losses_at_the_crashed_server_count) {
  lost_requests lost;
  instant now{};
  lost.Add("a", 1, now);
  lost.Add("b", 2, now);
  now += seconds(3);
  lost.Add("a", 3, now);
  cr_assert(lost.TakeForServer("a", now) == (std::vector<std::uint64_t>{1, 3}));
  cr_assert(lost.TakeForServer("a", now).empty(), "taken once");
  now += seconds(10);
  cr_assert(lost.TakeForServer("b", now).empty(), "too old");
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    lost.Add("c", i, now);
  }
  cr_assert(lost.size() <= 8000);
}

// Guards against a crash that is not traced to its request, since the server is only found to be
// gone when its registration ends, while many other connections are reset.
Test(lost_requests, a_loss_is_remembered_until_the_registration_of_the_server_ends) {
  lost_requests lost;
  instant now{};
  lost.Add("crashed", 1, now);
  for (std::uint64_t i = 0; i < 2000; ++i) {
    now += std::chrono::microseconds(2700);
    lost.Add("other", 100 + i, now);
  }
  cr_assert(lost.TakeForServer("crashed", now) == (std::vector<std::uint64_t>{1}));
}
