#ifndef LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_
#define LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_

#include <string>

namespace limpetlever {

/** A backend server, named by its address ("IP:port"). */
struct backend_server_row {
  std::string address;
  std::string service;
  std::string data_centre;
  double weight = 1.0;
  bool taken_out = false;
  /** Overrides the service's slots; 0 means no override. */
  int slots = 0;

  bool operator==(const backend_server_row&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_
