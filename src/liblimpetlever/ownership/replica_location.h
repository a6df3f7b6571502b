#ifndef LIMPETLEVER_OWNERSHIP_REPLICA_LOCATION_H_
#define LIMPETLEVER_OWNERSHIP_REPLICA_LOCATION_H_

#include <string>

namespace limpetlever {

/** A replica by address, and the data centre that it is in. */
struct replica_location {
  std::string address;
  std::string data_centre;

  bool operator==(const replica_location&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_REPLICA_LOCATION_H_
