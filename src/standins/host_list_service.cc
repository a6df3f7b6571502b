#include "host_list_service.h"

#include <iterator>

namespace limpetlever {

namespace {

constexpr int kThreads = 32;

}  // namespace

host_list_service::host_list_service(const std::string& ip, int port)
    : service_(ip, port, kThreads, [this](auto& request, auto& response) {
        HandleRequest(request, response);
      }) {}

void host_list_service::set_lag_ms(int lag_ms) {
  const std::lock_guard lock(mutex_);
  lag_ms_ = lag_ms;
}

void host_list_service::HandleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  const auto now = std::chrono::steady_clock::now();
  std::string body;
  if (request.getMethod() == "PUT") {
    body = ReadBody(request);
    const std::lock_guard lock(mutex_);
    lists_by_time_[now + std::chrono::milliseconds(lag_ms_)] = body;
  } else {
    const std::lock_guard lock(mutex_);
    const auto next = lists_by_time_.upper_bound(now);
    body = next == lists_by_time_.begin() ? R"({"hosts":[]})" : std::prev(next)->second;
  }
  SendResponse(response, 200, body);
}

}  // namespace limpetlever
