#ifndef LIMPETLEVER_ROUTING_CANDIDATE_H_
#define LIMPETLEVER_ROUTING_CANDIDATE_H_

#include <string>

namespace limpetlever {

/** A replica that can answer for a shard, as the replica selector sees it. */
struct candidate {
  std::string replica;
  std::string service;
  std::string data_centre;
  /** Product of the weights of service, data centre and backend server; with 0 it gets no work. */
  double weight = 1.0;
  /** Concurrency limit that the owner published. */
  int limit = 1;
  bool cold = false;

  bool operator==(const candidate&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_CANDIDATE_H_
