#ifndef LIMPETLEVER_TIMER_RETRY_BACKOFF_H_
#define LIMPETLEVER_TIMER_RETRY_BACKOFF_H_

#include "base/time_types.h"

namespace limpetlever {

class random_source;

/**
 * Exponential backoff with jitter: the time to wait after `failures` consecutive failures of a
 * call. The pause starts at `first` and doubles up to `max_pause`; it is multiplied by a random
 * factor from 0.5 to 1.5, so that hosts that failed at the same time do not retry at the same time.
 */
duration RetryBackoff(int failures, duration first, duration max_pause, random_source& random);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TIMER_RETRY_BACKOFF_H_
