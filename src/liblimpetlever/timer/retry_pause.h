#ifndef LIMPETLEVER_TIMER_RETRY_PAUSE_H_
#define LIMPETLEVER_TIMER_RETRY_PAUSE_H_

#include "base/time_types.h"

namespace limpetlever {

class random_source;

/**
 * The pause before a call is tried again after `failures` failed tries in a row: `first` doubled
 * each time up to `longest`, times 0.5 to 1.5 at random, so that hosts that failed together do not
 * come back together.
 */
duration RetryPause(int failures, duration first, duration longest, random_source& random);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TIMER_RETRY_PAUSE_H_
