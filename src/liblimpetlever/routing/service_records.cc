#include "routing/service_records.h"

#include "table/operator_table.h"

namespace limpetlever {

void service_records::SetTable(const operator_table& table) {
  std::erase_if(records_,
                [&table](const auto& entry) { return FindService(table, entry.first) == nullptr; });
}

}  // namespace limpetlever
