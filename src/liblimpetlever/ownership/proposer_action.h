#ifndef LIMPETLEVER_OWNERSHIP_PROPOSER_ACTION_H_
#define LIMPETLEVER_OWNERSHIP_PROPOSER_ACTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ownership/ownership_view.h"

namespace limpetlever {

/** An action of view_proposer that the caller executes. */
struct proposer_action {
  enum class action_kind {
    /** Read the view's key from the key-value service; report by OnRead or OnReadFailed. */
    read_view,
    /** Send CloseEpoch(epoch) to `targets`, maybe this host too; report by OnEpochClosed. */
    close_epoch,
    /** Write `view` if the key is still at `revision`; report by OnCommit. */
    commit,
  };
  action_kind kind = action_kind::read_view;
  std::int64_t epoch = 0;
  std::vector<std::string> targets;
  ownership_view view;
  /** For a commit, the revision that the key must have; 0 if the key must not exist. */
  std::int64_t revision = 0;

  bool operator==(const proposer_action&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_PROPOSER_ACTION_H_
