#ifndef LIMPETLEVER_ROUTING_ATTEMPT_PURPOSE_H_
#define LIMPETLEVER_ROUTING_ATTEMPT_PURPOSE_H_

namespace limpetlever {

/** Why an attempt is sent. Hedges are not sent to replicas that are known to be cold or full. */
enum class attempt_purpose { first, retry, hedge };

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_ATTEMPT_PURPOSE_H_
