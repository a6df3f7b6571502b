#include "net/receive_memory.h"

#include <algorithm>

namespace limpetlever {

void receive_memory::Hold(holder& from, std::size_t bytes) {
  std::size_t& held = holders_[&from];
  held_bytes_ += bytes - held;
  held = bytes;
  while (held_bytes_ > max_bytes_ && !holders_.empty()) {
    const auto largest =
        std::max_element(holders_.begin(), holders_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    ++reclaimed_count_;
    largest->first->OnMemoryReclaimed();
  }
}

void receive_memory::Release(holder& from) {
  if (const auto found = holders_.find(&from); found != holders_.end()) {
    held_bytes_ -= found->second;
    holders_.erase(found);
  }
}

}  // namespace limpetlever
