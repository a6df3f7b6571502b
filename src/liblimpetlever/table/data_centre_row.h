#ifndef LIMPETLEVER_TABLE_DATA_CENTRE_ROW_H_
#define LIMPETLEVER_TABLE_DATA_CENTRE_ROW_H_

#include <string>

namespace limpetlever {

/** A data centre: its weight, and whether operators have taken it out of service. */
struct data_centre_row {
  std::string name;
  std::string region;
  double weight = 1.0;
  bool taken_out = false;

  bool operator==(const data_centre_row&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_DATA_CENTRE_ROW_H_
