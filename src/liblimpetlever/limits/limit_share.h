#ifndef LIMPETLEVER_LIMITS_LIMIT_SHARE_H_
#define LIMPETLEVER_LIMITS_LIMIT_SHARE_H_

namespace limpetlever {

/** The part of this host in the requests that one backend server allows all hosts together. */
struct limit_share {
  /** Number of hosts in use that come before this one for the server; `hosts` if it is not one. */
  int rank = 0;
  /** Number of hosts in use. */
  int hosts = 1;
  /** Number of hosts in the fleet, in use or not. */
  int fleet = 1;

  bool operator==(const limit_share&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LIMIT_SHARE_H_
