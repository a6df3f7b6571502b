#include "query/asked_servers.h"

#include <algorithm>

namespace limpetlever {

std::size_t asked_servers::Position(const replica_record* server) const {
  return static_cast<std::size_t>(std::find(known_.begin(), known_.end(), server) - known_.begin());
}

void asked_servers::Add(const replica_record* server) {
  const std::size_t position = Position(server);
  if (position == known_.size()) {
    known_.push_back(server);
    attempts_.push_back(0);
  }
  ++attempts_[position];
}

void asked_servers::Withdraw(const replica_record* server) {
  --attempts_[Position(server)];
}

int asked_servers::count() const {
  return static_cast<int>(
      std::count_if(attempts_.begin(), attempts_.end(), [](int attempts) { return attempts > 0; }));
}

bool asked_servers::Contains(const replica_record* server) const {
  const std::size_t position = Position(server);
  return position < known_.size() && attempts_[position] > 0;
}

}  // namespace limpetlever
