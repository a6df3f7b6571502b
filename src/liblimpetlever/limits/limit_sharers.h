#ifndef LIMPETLEVER_LIMITS_LIMIT_SHARERS_H_
#define LIMPETLEVER_LIMITS_LIMIT_SHARERS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limits/limit_share.h"

namespace limpetlever {

/**
 * The hosts that share the limits of backend servers. Their order differs from server to server (a
 * rendezvous hash), and a host that joins or leaves moves each other one by at most one place.
 */
class limit_sharers {
 public:
  /** This host alone. */
  limit_sharers() = default;
  limit_sharers(std::string_view own_name, const std::vector<std::string>& in_use, int fleet);

  limit_share ShareOf(std::string_view server) const;
  bool operator==(const limit_sharers&) const = default;

 private:
  /** Hashes of the names of the hosts in use, without this host. */
  std::vector<std::uint64_t> others_;
  std::uint64_t own_ = 0;
  bool is_in_use_ = true;
  int fleet_ = 1;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LIMIT_SHARERS_H_
