#ifndef LIMPETLEVER_TESTS_SERVER_CLUSTER_SHAPE_H_
#define LIMPETLEVER_TESTS_SERVER_CLUSTER_SHAPE_H_

#include <string>
#include <vector>

namespace limpetlever {

/** Size of a test_cluster. Hosts and the replicas of a shard are spread over the data centres. */
struct cluster_shape {
  int hosts = 3;
  std::vector<std::string> data_centres = {"east", "north"};
  /** Number of services of the workload "matching"; service "m<N>" holds shard N. */
  int shards = 3;
  /** Backend servers of each service. */
  int replicas = 2;
  /** Requests that a backend server runs at the same time. */
  int slots = 2;
  int service_time_us = 2000;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_SERVER_CLUSTER_SHAPE_H_
