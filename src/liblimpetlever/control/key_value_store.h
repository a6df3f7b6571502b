#ifndef LIMPETLEVER_CONTROL_KEY_VALUE_STORE_H_
#define LIMPETLEVER_CONTROL_KEY_VALUE_STORE_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "base/time_types.h"

namespace limpetlever {

/** A value of the platform's key-value service and the revision of its last write. */
struct key_value_entry {
  std::string value;
  std::int64_t revision = 0;

  bool operator==(const key_value_entry&) const = default;
};

/**
 * The platform's key-value service. Failures: store_unavailable (the call had no effect),
 * store_conflict (Put: the key has another revision), store_outcome_unknown (Put: the write may
 * have taken effect), not_found (Get).
 */
template <typename T>
concept key_value_store =
    requires(T store, const std::string& text, std::int64_t revision, duration wait) {
  { store.Get(text) } -> std::same_as<result<key_value_entry>>;
  // Writes only if the revision of the key is `revision`; 0 means that the key must not exist.
  { store.Put(text, text, revision) } -> std::same_as<result<std::int64_t>>;
  // Waits until the revision of the key is above `revision`; nullopt when `wait` has passed.
  { store.Watch(text, revision, wait) } -> std::same_as<result<std::optional<key_value_entry>>>;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_KEY_VALUE_STORE_H_
