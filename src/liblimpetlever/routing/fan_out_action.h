#ifndef LIMPETLEVER_ROUTING_FAN_OUT_ACTION_H_
#define LIMPETLEVER_ROUTING_FAN_OUT_ACTION_H_

#include "routing/attempt_purpose.h"
#include "routing/attempt_request.h"

namespace limpetlever {

/** An action of fan_out that the coordinator executes: send or cancel an attempt. */
struct fan_out_action {
  enum class action_kind { send, cancel };
  action_kind kind = action_kind::send;
  /** For cancel only `id` and `replica` are set. */
  attempt_request attempt;
  attempt_purpose purpose = attempt_purpose::first;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_FAN_OUT_ACTION_H_
