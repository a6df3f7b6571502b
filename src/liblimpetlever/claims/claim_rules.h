#ifndef LIMPETLEVER_CLAIMS_CLAIM_RULES_H_
#define LIMPETLEVER_CLAIMS_CLAIM_RULES_H_

namespace limpetlever {

/**
 * The rules that at-most-once execution depends on. Tests disable one rule at a time in a derived
 * struct, to show that they detect the double execution that results.
 */
struct claim_rules {
  /** A claim is granted only after its write succeeded or a read returned its claim id. */
  static constexpr bool kGrantsOnlyConfirmed = true;
  /**
   * A claim that is not expired is replaced only if it is released, according to the journal or
   * because this process, which made the claim, has released it.
   */
  static constexpr bool kReplacesOnlyReleased = true;
  /** After a write with an unknown outcome the value is read back; success is never assumed. */
  static constexpr bool kReadsBackUnknownOutcomes = true;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_CLAIM_RULES_H_
