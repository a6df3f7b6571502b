#ifndef LIMPETLEVER_SERVER_HTTP_SERVER_H_
#define LIMPETLEVER_SERVER_HTTP_SERVER_H_

#include <memory>

#include "server/connection_guard.h"
#include "server/http_api.h"

namespace Poco {
class ThreadPool;
}
namespace Poco::Net {
class TCPServer;
}

namespace limpetlever {

class host_server;

/** The HTTP server for callers and operators; paths and limits are in docs/callers.md. */
class http_server {
 public:
  /** Binds to the host's HTTP address; throws Poco::Exception if that fails. */
  explicit http_server(host_server& server);
  /** Blocks until the running requests are answered. */
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

 private:
  bad_input_log& bad_input_;
  http_api api_;
  connection_guard guard_;
  std::unique_ptr<Poco::ThreadPool> pool_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_HTTP_SERVER_H_
