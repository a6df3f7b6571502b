#include "limits/limit_sharers.h"

#include <algorithm>

#include "base/hash.h"

namespace limpetlever {

limit_sharers::limit_sharers(std::string_view own_name,
                             const std::vector<std::string>& in_use,
                             int fleet)
    : own_(Hash(own_name)), is_in_use_(false), fleet_(fleet) {
  for (const std::string& name : in_use) {
    if (name == own_name) {
      is_in_use_ = true;
    } else {
      others_.push_back(Hash(name));
    }
  }
}

limit_share limit_sharers::ShareOf(std::string_view server) const {
  const int hosts = static_cast<int>(others_.size()) + (is_in_use_ ? 1 : 0);
  limit_share share{.rank = hosts, .hosts = std::max(1, hosts), .fleet = std::max(fleet_, hosts)};
  if (is_in_use_) {
    const std::uint64_t server_hash = Hash(server);
    const std::uint64_t own = CombineHashes(own_, server_hash);
    share.rank = static_cast<int>(
        std::count_if(others_.begin(), others_.end(), [server_hash, own](std::uint64_t other) {
          return CombineHashes(other, server_hash) > own;
        }));
  }
  return share;
}

}  // namespace limpetlever
