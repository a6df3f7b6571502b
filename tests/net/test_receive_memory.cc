#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "net/receive_memory.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kLimit = 1000;

/** Records that its message was given up, and in which order. */
class test_holder : public receive_memory::holder {
 public:
  test_holder(receive_memory& memory, std::vector<const test_holder*>& order)
      : memory_(memory), order_(order) {}
  void OnMemoryReclaimed() override {
    order_.push_back(this);
    memory_.Release(*this);
  }

 private:
  receive_memory& memory_;
  std::vector<const test_holder*>& order_;
};

struct memory_fixture {
  memory_fixture() {
    for (int i = 0; i < 4; ++i) {
      holders.push_back(std::make_unique<test_holder>(memory, order));
    }
  }
  void Hold(std::size_t index, std::size_t bytes) { memory.Hold(*holders[index], bytes); }

  receive_memory memory{kLimit};
  std::vector<const test_holder*> order;
  std::vector<std::unique_ptr<test_holder>> holders;
};

}  // namespace

// Guards against connections that are given up for the memory that others take: only the largest
// messages are, and no more of them than necessary.
Test(receive_memory, gives_up_the_largest_messages_only) {
  memory_fixture fixture;
  fixture.Hold(0, 300);
  fixture.Hold(1, 400);
  fixture.Hold(2, 300);
  cr_assert(fixture.order.empty(), "the limit itself is allowed");
  fixture.Hold(3, 600);
  const std::vector<const test_holder*> expected = {fixture.holders[3].get()};
  cr_assert(fixture.order == expected);
  cr_assert(fixture.memory.held_bytes() == 1000 && fixture.memory.reclaimed_count() == 1);
  fixture.memory.SetMaxBytes(350);
  fixture.Hold(2, 301);
  cr_assert(fixture.order.size() == 3 && fixture.order[1] == fixture.holders[1].get() &&
            fixture.order[2] == fixture.holders[2].get());
}

// Guards against a count that grows with each read, so that after some time every message is given
// up.
Test(receive_memory, counts_what_is_held_at_present) {
  memory_fixture fixture;
  for (std::size_t round = 0; round < 100; ++round) {
    fixture.Hold(0, 100 + round);
    fixture.Hold(1, 500);
    fixture.memory.Release(*fixture.holders[1]);
    fixture.memory.Release(*fixture.holders[1]);
  }
  cr_assert(fixture.order.empty() && fixture.memory.held_bytes() == 199);
  fixture.memory.Release(*fixture.holders[0]);
  cr_assert(fixture.memory.held_bytes() == 0);
}
