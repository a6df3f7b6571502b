#ifndef LIMPETLEVER_REPLICAS_WAITING_DECISION_H_
#define LIMPETLEVER_REPLICAS_WAITING_DECISION_H_

namespace limpetlever {

/** What happens to a request that waits for a connection to a backend server. */
enum class waiting_decision {
  /** It is sent once a connection is free. */
  stay,
  /** It goes to another server if one can be asked; until then, it may be sent to this one. */
  move,
  /** It goes to another server or ends; it may not be sent to this one. */
  leave
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_WAITING_DECISION_H_
