#ifndef LIMPETLEVER_TRANSPORT_KEY_VALUE_CLIENT_H_
#define LIMPETLEVER_TRANSPORT_KEY_VALUE_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "control/key_value_store.h"

namespace limpetlever {

/**
 * HTTP client of the platform's key-value service; see key_value_store for the meaning of the
 * calls. Thread-safe.
 */
class key_value_client {
 public:
  explicit key_value_client(std::string address);

  result<key_value_entry> Get(const std::string& key);
  result<std::int64_t> Put(const std::string& key, const std::string& value, std::int64_t revision);
  result<std::optional<key_value_entry>> Watch(const std::string& key,
                                               std::int64_t after,
                                               duration wait);

  /** Number of calls since construction: Get and Watch count as reads, Put as a write. */
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  const std::string address_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> writes_ = 0;
};

static_assert(key_value_store<key_value_client>);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_KEY_VALUE_CLIENT_H_
