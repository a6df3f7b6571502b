#ifndef LIMPETLEVER_HTTP_SERVICE_H_
#define LIMPETLEVER_HTTP_SERVICE_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

namespace Poco {
class ThreadPool;
}
namespace Poco::Net {
class HTTPServer;
}

namespace limpetlever {

/** HTTP server on one address that passes each request to a function, until it is destroyed. */
class http_service {
 public:
  using handler =
      std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

  /**
   * Port 0 picks a free port. At most `threads` connections are served at once; `handle` is called
   * from their threads.
   */
  http_service(const std::string& ip, int port, int threads, handler handle);
  ~http_service();
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;

  int port() const { return port_; }

 private:
  std::unique_ptr<Poco::ThreadPool> pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  int port_ = 0;
};

/** Reads the request body to its end. */
std::string ReadBody(Poco::Net::HTTPServerRequest& request);

/** Sends a complete response with this status and body; headers must be set before. */
void SendResponse(Poco::Net::HTTPServerResponse& response, int status, const std::string& body);

}  // namespace limpetlever

#endif  // LIMPETLEVER_HTTP_SERVICE_H_
