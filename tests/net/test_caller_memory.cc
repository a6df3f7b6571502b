#include <criterion/criterion.h>

#include "net/caller_memory.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kLimit = 160'000;

}  // namespace

// Guards against large requests that take the memory which ordinary ones need.
Test(caller_memory, large_requests_leave_room_for_small_ones) {
  caller_memory memory(kLimit);
  std::size_t large = 0;
  while (memory.Admits(4000)) {
    memory.AddOpen(4000);
    ++large;
  }
  cr_assert(large == 13, "%zu", large);
  cr_assert(memory.Admits(1000) && memory.Admits(3000));
  memory.RemoveOpen(4000);
  cr_assert(memory.Admits(4000));
}

// Guards against a host that refuses everything, or nothing, when it holds more than a new limit.
Test(caller_memory, a_lower_limit_refuses_until_memory_is_released) {
  caller_memory memory(kLimit);
  memory.AddOpen(60'000);
  memory.SetMaxBytes(100'000);
  cr_assert(!memory.Admits(1));
  memory.RemoveOpen(60'000);
  cr_assert(memory.Admits(1) && memory.Admits(50'000 / 8) && !memory.Admits(50'000 / 8 + 1));
  cr_assert(memory.held_bytes() == 0);
}
