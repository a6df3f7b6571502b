#ifndef LIMPETLEVER_ROUTING_SHARD_ANSWER_H_
#define LIMPETLEVER_ROUTING_SHARD_ANSWER_H_

#include <string>

namespace limpetlever {

/** The answer of one shard. */
struct shard_answer {
  int shard = 0;
  std::string body;

  bool operator==(const shard_answer&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_SHARD_ANSWER_H_
