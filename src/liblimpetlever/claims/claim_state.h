#ifndef LIMPETLEVER_CLAIMS_CLAIM_STATE_H_
#define LIMPETLEVER_CLAIMS_CLAIM_STATE_H_

namespace limpetlever {

/**
 * State of a key in the claim journal. `claimed`: the outcome is not recorded yet. `ran` and
 * `may_have_run`: outcome of the request. `released`: it did not run, the key may be claimed again.
 */
enum class claim_state { claimed, ran, released, may_have_run };

/** The name of the state as it is stored: "claimed", "ran", "released" or "may_have_run". */
constexpr const char* ToString(claim_state state) {
  switch (state) {
    case claim_state::claimed:
      return "claimed";
    case claim_state::ran:
      return "ran";
    case claim_state::released:
      return "released";
    case claim_state::may_have_run:
      break;
  }
  return "may_have_run";
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_CLAIM_STATE_H_
