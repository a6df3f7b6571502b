#ifndef LIMPETLEVER_KEY_VALUE_FAULTS_H_
#define LIMPETLEVER_KEY_VALUE_FAULTS_H_

namespace limpetlever {

/** Faults that the stand-in for the key-value service injects. */
struct key_value_faults {
  /** Delay of each call. */
  int latency_ms = 0;
  /** Each call is answered 503 and has no effect. */
  bool outage = false;
  /** Number of upcoming writes that take effect but get no answer. */
  int lost_answers = 0;

  bool operator==(const key_value_faults&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_KEY_VALUE_FAULTS_H_
