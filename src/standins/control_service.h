#ifndef LIMPETLEVER_CONTROL_SERVICE_H_
#define LIMPETLEVER_CONTROL_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "backend_server.h"
#include "host_list_service.h"
#include "http_service.h"
#include "key_value_service.h"

namespace limpetlever {

/**
 * HTTP interface by which tests inject faults into the stand-ins (POST /control) and read their
 * counters (GET /records). `store` and `hosts` may be null; all stand-ins must outlive the service.
 */
class control_service {
 public:
  control_service(const std::string& ip,
                  int port,
                  key_value_service* store,
                  host_list_service* hosts,
                  const std::vector<std::unique_ptr<backend_server>>& backends);

  int port() const { return service_.port(); }

 private:
  /** Applies the faults of a request, or none and returns the error if the request is not valid. */
  std::string ApplyFaults(const std::string& text);
  /** Call counts of the key-value service and the record of each backend server, as JSON. */
  std::string FormatRecords() const;

  key_value_service* store_;
  host_list_service* hosts_;
  const std::vector<std::unique_ptr<backend_server>>& backends_;
  http_service service_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_SERVICE_H_
