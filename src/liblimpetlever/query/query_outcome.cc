#include "query/query_outcome.h"

namespace limpetlever {

bool query_outcome::IsComplete() const {
  constexpr int kSuccessClass = 2;
  const bool has_success = reply && reply->status / 100 == kSuccessClass;
  return has_success || (!parts.empty() && missing_shards == 0);
}

}  // namespace limpetlever
