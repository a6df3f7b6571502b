#ifndef LIMPETLEVER_ROUTING_QUERY_ANSWER_H_
#define LIMPETLEVER_ROUTING_QUERY_ANSWER_H_

#include <cstdint>
#include <vector>

#include "base/time_types.h"
#include "base/verdict.h"
#include "routing/missing_shard.h"
#include "routing/shard_answer.h"

namespace limpetlever {

/** The answer to a query: the answers of its shards, all from one index version. */
struct query_answer {
  verdict outcome;
  std::int64_t snapshot_version = 0;
  int shard_count = 0;
  std::vector<shard_answer> answers;
  std::vector<missing_shard> missing;
  duration elapsed{};
  int attempts = 0;
  int hedges = 0;
  int retries = 0;
  /** Number of shards of which a backend server closed the connection while it ran an attempt. */
  int shards_with_lost_connection = 0;

  bool operator==(const query_answer&) const = default;
};

/** Whether every shard of the version answered. */
bool IsComplete(const query_answer& answer);

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_QUERY_ANSWER_H_
