#include "http_service.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace limpetlever {

namespace {

class function_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit function_handler(const http_service::handler& handle) : handle_(handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    handle_(request, response);
  }

 private:
  const http_service::handler& handle_;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit function_handler_factory(http_service::handler handle) : handle_(std::move(handle)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new function_handler(handle_);
  }

 private:
  const http_service::handler handle_;
};

constexpr int kIdleThreadSeconds = 10;
// Small, since hundreds of services share the process and a handler needs little stack.
constexpr int kThreadStackBytes = 256 * 1024;

}  // namespace

http_service::http_service(const std::string& ip, int port, int threads, handler handle)
    // Each service has its own thread pool: stopping a server waits for all threads of its pool,
    // and Poco's default pool has 16 threads, which a few long-polling watches use up.
    : pool_(std::make_unique<Poco::ThreadPool>(1,
                                               threads + 1,
                                               kIdleThreadSeconds,
                                               kThreadStackBytes)) {
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(threads);
  params->setMaxQueued(threads);
  params->setKeepAliveTimeout(Poco::Timespan(120, 0));
  params->setTimeout(Poco::Timespan(120, 0));
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(ip, static_cast<Poco::UInt16>(port)),
                                 256);
  port_ = socket.address().port();
  server_ = std::make_unique<Poco::Net::HTTPServer>(new function_handler_factory(std::move(handle)),
                                                    *pool_, socket, params);
  server_->start();
}

http_service::~http_service() {
  server_->stopAll(true);
}

std::string ReadBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

void SendResponse(Poco::Net::HTTPServerResponse& response, int status, const std::string& body) {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  response.send() << body;
}

}  // namespace limpetlever
