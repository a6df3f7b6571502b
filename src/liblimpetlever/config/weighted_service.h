#ifndef LIMPETLEVER_CONFIG_WEIGHTED_SERVICE_H_
#define LIMPETLEVER_CONFIG_WEIGHTED_SERVICE_H_

#include <string>

namespace limpetlever {

/** A service with its share of a route's requests, relative to the other shares. */
struct weighted_service {
  std::string service;
  double weight = 1.0;

  bool operator==(const weighted_service&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_WEIGHTED_SERVICE_H_
