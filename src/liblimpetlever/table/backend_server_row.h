#ifndef LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_
#define LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_

#include <string>

namespace limpetlever {

/** A backend server, identified by its address ("IP:port"). */
struct backend_server_row {
  std::string address;
  std::string service;
  std::string data_centre;
  double weight = 1.0;
  bool taken_out = false;
  /** Overrides service_row::slots for this backend server; 0 means no override. */
  int slots = 0;

  bool operator==(const backend_server_row&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_BACKEND_SERVER_ROW_H_
