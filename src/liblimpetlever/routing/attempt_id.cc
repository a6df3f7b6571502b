#include "routing/attempt_id.h"

#include <cstdio>

namespace limpetlever {

std::string ToString(const attempt_id& id) {
  char text[64];
  std::snprintf(text, sizeof(text), "%016llx-%u-%u", static_cast<unsigned long long>(id.query),
                id.shard, id.ordinal);
  return text;
}

}  // namespace limpetlever
