#ifndef LIMPETLEVER_CONTROL_DISTRIBUTION_ACTION_H_
#define LIMPETLEVER_CONTROL_DISTRIBUTION_ACTION_H_

#include <cstdint>
#include <string>

namespace limpetlever {

/** An action that the user of table_distributor must carry out. */
struct distribution_action {
  enum class action_kind {
    /**
     * Send the table edits after `from_version` up to `version` to `host`. The host pulls if it
     * lacks earlier edits.
     */
    push,
    /** Request the table of `host`; report the result to OnPullResult(). */
    pull,
    /** Read the table from the key-value service; report the result to OnStoreReadResult(). */
    read_store,
  };
  action_kind kind = action_kind::push;
  std::string host;
  std::int64_t from_version = 0;
  std::int64_t version = 0;

  bool operator==(const distribution_action&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_DISTRIBUTION_ACTION_H_
