#ifndef LIMPETLEVER_CLAIMS_STORE_CALL_H_
#define LIMPETLEVER_CLAIMS_STORE_CALL_H_

#include <cstdint>
#include <string>

namespace limpetlever {

/** Call to make to the key-value service: Get(key), or Put(key, value, revision) for a write. */
struct store_call {
  enum class call_kind { read, write };
  call_kind kind = call_kind::read;
  std::string key;
  std::string value;
  std::int64_t revision = 0;

  bool operator==(const store_call&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_STORE_CALL_H_
