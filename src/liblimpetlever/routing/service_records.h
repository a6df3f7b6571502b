#ifndef LIMPETLEVER_ROUTING_SERVICE_RECORDS_H_
#define LIMPETLEVER_ROUTING_SERVICE_RECORDS_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "routing/service_record.h"

namespace limpetlever {

struct operator_table;

/** The records of this host by service. Not safe for use by several threads. */
class service_records {
 public:
  /** Returns the record of the service, which is created if there is none. */
  service_record& FindOrCreate(const std::string& service) { return records_[service]; }

  /** Removes services that are not in the table, and so invalidates references to their records. */
  void SetTable(const operator_table& table);

  std::size_t size() const { return records_.size(); }

 private:
  std::unordered_map<std::string, service_record> records_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_SERVICE_RECORDS_H_
