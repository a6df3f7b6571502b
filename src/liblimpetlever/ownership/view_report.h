#ifndef LIMPETLEVER_OWNERSHIP_VIEW_REPORT_H_
#define LIMPETLEVER_OWNERSHIP_VIEW_REPORT_H_

#include <cstdint>
#include <optional>

#include "base/time_types.h"

namespace limpetlever {

/** A host's answer when another host asks about its ownership view. */
struct view_report {
  /** Epoch of the host's view; 0 if it has none. */
  std::int64_t epoch = 0;
  /** Whether the host is a member of `epoch` and has not closed it. */
  bool attests = false;
  /** Version of the operator table that the host holds. */
  std::int64_t table_version = 0;
  /**
   * Time since the host sent a read to the key-value service that confirmed the epoch and the table
   * version; nullopt if there was none.
   */
  std::optional<duration> confirmation_age;

  bool operator==(const view_report&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_VIEW_REPORT_H_
