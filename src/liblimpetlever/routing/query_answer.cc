#include "routing/query_answer.h"

namespace limpetlever {

bool IsComplete(const query_answer& answer) {
  return answer.shard_count > 0 &&
         answer.answers.size() == static_cast<std::size_t>(answer.shard_count);
}

}  // namespace limpetlever
