#ifndef LIMPETLEVER_REPLICAS_REPORTED_LOAD_H_
#define LIMPETLEVER_REPLICAS_REPORTED_LOAD_H_

namespace limpetlever {

/** The load that a backend server states in an answer, in requests. It may be stale or wrong. */
struct reported_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  bool operator==(const reported_load&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPORTED_LOAD_H_
