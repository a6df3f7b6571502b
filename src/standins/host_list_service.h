#ifndef LIMPETLEVER_HOST_LIST_SERVICE_H_
#define LIMPETLEVER_HOST_LIST_SERVICE_H_

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "http_service.h"

namespace limpetlever {

/** Stand-in for the platform's host list: GET /hosts returns the list that was last PUT there. */
class host_list_service {
 public:
  host_list_service(const std::string& ip, int port);

  int port() const { return service_.port(); }

  /** Delay between storing a list and serving it, for lists that are stored from now on. */
  void set_lag_ms(int lag_ms);

 private:
  void HandleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);

  std::mutex mutex_;
  /** Stored lists, by the time from which they are served. */
  std::map<std::chrono::steady_clock::time_point, std::string> lists_by_time_;
  int lag_ms_ = 0;
  http_service service_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_HOST_LIST_SERVICE_H_
