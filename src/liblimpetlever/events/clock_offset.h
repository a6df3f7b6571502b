#ifndef LIMPETLEVER_EVENTS_CLOCK_OFFSET_H_
#define LIMPETLEVER_EVENTS_CLOCK_OFFSET_H_

#include <string>
#include <vector>

#include "events/host_fetch.h"

namespace limpetlever {

/** Estimate of a host's clock offset, relative to the process that fetched the events. */
struct clock_offset {
  std::string host;
  /** The host's wall clock is ahead by this; negative if it is behind. */
  duration offset{};
  /** The true offset is within `offset` plus or minus this; see EstimateOffsets. */
  duration uncertainty{};

  bool operator==(const clock_offset&) const = default;
};

/**
 * Estimates the clock offset of each host, in the order of `fetches`. Combines two kinds of bounds:
 * - A host reads its clock between the request and the response of the fetch, which bounds its
 *   offset to plus or minus half the round trip.
 * - The cause of an effect on another host happened before the effect, which bounds the difference
 *   of the two offsets.
 * The true offset is within the stated uncertainty (half the round trip, or less where attempts
 * were sent in both directions), provided that no clock was set or drifted between the events and
 * the fetch. If the combined bounds of a host contradict each other, those of its fetch alone are
 * used.
 */
std::vector<clock_offset> EstimateOffsets(const std::vector<host_fetch>& fetches);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_CLOCK_OFFSET_H_
