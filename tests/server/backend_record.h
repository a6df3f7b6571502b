#ifndef LIMPETLEVER_TESTS_SERVER_BACKEND_RECORD_H_
#define LIMPETLEVER_TESTS_SERVER_BACKEND_RECORD_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <map>
#include <string>

#include "backend_server.h"
#include "base/json_reader.h"

namespace limpetlever {

/** Statistics recorded by a stand-in of a backend server. */
struct backend_record {
  std::string instance_id;
  /** Requests received. */
  long received = 0;
  /** Maximum number of requests that ran at the same time. */
  int greatest_running = 0;
  /** Requests that arrived while all slots were taken. */
  int over_limit = 0;
  std::int64_t last_work_ms = 0;
  /** Number of runs per idempotency key. */
  std::map<std::string, int> ledger;

  static backend_record Read(const backend_server& server) {
    const Poco::JSON::Object::Ptr object = *json_reader::ParseText(server.Record(), "record");
    backend_record record{.instance_id = object->getValue<std::string>("instance_id"),
                          .received = object->getValue<long>("received"),
                          .greatest_running = object->getValue<int>("greatest_running"),
                          .over_limit = object->getValue<int>("over_limit"),
                          .last_work_ms = object->getValue<Poco::Int64>("last_work_ms"),
                          .ledger = {}};
    for (const auto& [key, runs] : *object->getObject("ledger")) {
      record.ledger[key] = runs.convert<int>();
    }
    return record;
  }
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_SERVER_BACKEND_RECORD_H_
