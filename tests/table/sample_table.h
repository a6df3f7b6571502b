#ifndef LIMPETLEVER_TESTS_TABLE_SAMPLE_TABLE_H_
#define LIMPETLEVER_TESTS_TABLE_SAMPLE_TABLE_H_

#include "table/operator_table.h"

namespace limpetlever {

/** A small valid table of version 5 whose history begins with version 5. */
inline operator_table SampleTable() {
  return {.version = 5,
          .workloads = {{.name = "matching"}},
          .services = {{.name = "m-00", .workload = "matching", .slots = 2, .connections = 50},
                       {.name = "m-01", .workload = "matching", .slots = 2, .connections = 50}},
          .data_centres = {{.name = "east", .region = "r", .weight = 0.3},
                           {.name = "north", .region = "r", .taken_out = true}},
          .backend_servers = {{.address = "10.0.0.1:80", .service = "m-00", .data_centre = "east"},
                              {.address = "10.0.0.2:80",
                               .service = "m-01",
                               .data_centre = "north",
                               .weight = 1.5,
                               .slots = 4}},
          .taken_out_hosts = {"host-03"},
          .edits = {{.id = "first", .version = 5, .author = "a", .summary = "s", .rows = {"x"}}}};
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_TABLE_SAMPLE_TABLE_H_
