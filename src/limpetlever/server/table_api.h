#ifndef LIMPETLEVER_SERVER_TABLE_API_H_
#define LIMPETLEVER_SERVER_TABLE_API_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include "base/result.h"
#include "server/api_request.h"
#include "server/api_response.h"
#include "table/edit_outcome.h"
#include "table/edit_request.h"
#include "table/operator_table.h"

namespace limpetlever {

class host_server;

/** Serves /v1/table, which returns and edits the operators' table. Thread-safe. */
class table_api {
 public:
  explicit table_api(host_server& server) : server_(server) {}

  /** Returns the table as JSON, or as CSV with the parameter format=csv. */
  api_response Get(const api_request& request);
  /** Stores an edit or a whole table and pushes the resulting table to other hosts. */
  api_response Post(const api_request& request);

 private:
  /**
   * Parses the request's body, an edit or a whole table. A whole table is converted to the edit
   * that leads to it from its base version.
   */
  result<edit_request> ParseEdit(const api_request& request);
  result<edit_request> EditFromTable(edit_request edit, const operator_table& wanted);
  /** Keeps a returned version, so that a whole table can later be compared with it. */
  void KeepVersion(const std::shared_ptr<const operator_table>& table);
  /** The current table or a kept version; null if the version is neither. */
  std::shared_ptr<const operator_table> FindVersion(std::int64_t version);
  /** Pushes the stored table to a few hosts, which pass it on. */
  void PushTable(const edit_outcome& outcome);

  host_server& server_;
  std::mutex mutex_;
  /** The latest versions that operators have fetched; a whole table is compared with its base. */
  std::map<std::int64_t, std::shared_ptr<const operator_table>> kept_versions_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_TABLE_API_H_
