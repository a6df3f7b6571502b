#ifndef LIMPETLEVER_ROUTING_MISSING_SHARD_H_
#define LIMPETLEVER_ROUTING_MISSING_SHARD_H_

#include <string>

namespace limpetlever {

/** A shard that is missing from an answer, and the reason. */
struct missing_shard {
  int shard = 0;
  std::string reason;

  bool operator==(const missing_shard&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_MISSING_SHARD_H_
