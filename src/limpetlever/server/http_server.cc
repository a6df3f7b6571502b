#include "server/http_server.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <string>
#include <utility>

#include "server/bad_input_log.h"
#include "server/host_server.h"
#include "server/http_connection.h"

namespace limpetlever {

namespace {

class http_connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  http_connection_factory(Poco::Net::HTTPServerParams::Ptr params,
                          connection_guard& guard,
                          http_api& api,
                          bad_input_log& bad_input)
      : params_(std::move(params)), guard_(guard), api_(api), bad_input_(bad_input) {}

  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return new http_connection(socket, params_, guard_, api_, bad_input_);
  }

 private:
  const Poco::Net::HTTPServerParams::Ptr params_;
  connection_guard& guard_;
  http_api& api_;
  bad_input_log& bad_input_;
};

/** Answers connections above the limit with status 503, so that the caller can ask another host. */
class connection_limit : public Poco::Net::TCPServerConnectionFilter {
 public:
  connection_limit(int max_connections, bad_input_log& bad_input)
      : max_connections_(max_connections), bad_input_(bad_input) {}

  void SetServer(const Poco::Net::TCPServer* server) { server_ = server; }

  bool accept(const Poco::Net::StreamSocket& socket) override {
    if (server_->currentConnections() + server_->queuedConnections() < max_connections_) {
      return true;
    }
    bad_input_.Add("too_many_connections", socket.peerAddress().toString(),
                   "limit of " + std::to_string(max_connections_) + " connections reached");
    const std::string body = R"({"verdict":"not_run","error":"overloaded: too many connections"})";
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: "
        "application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    Poco::Net::StreamSocket client(socket);
    client.setBlocking(false);
    client.sendBytes(refusal.data(), static_cast<int>(refusal.size()));
    return false;
  }

 private:
  const int max_connections_;
  bad_input_log& bad_input_;
  const Poco::Net::TCPServer* server_ = nullptr;
};

Poco::Net::ServerSocket Listen(const std::string& address) {
  constexpr int kBacklog = 256;
  Poco::Net::ServerSocket socket;
  // Without port reuse, which Poco's constructor sets: a second host with the same address must
  // fail to start rather than receive a part of this host's callers.
  socket.bind(Poco::Net::SocketAddress(address), true, false);
  socket.listen(kBacklog);
  return socket;
}

}  // namespace

http_server::http_server(host_server& server)
    : bad_input_(server.bad_input()),
      api_(server, bad_input_),
      guard_(std::chrono::milliseconds(server.settings().request_read_ms)) {
  const int threads = server.settings().http_threads;
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(threads);
  params->setMaxQueued(threads);
  params->setThreadIdleTime(Poco::Timespan(1, 0));
  // Longer than the guard's limit, so that the guard ends slow reads and the client gets a 408.
  params->setTimeout(Poco::Timespan(server.settings().request_read_ms * 2000LL + 1'000'000));
  params->setKeepAliveTimeout(Poco::Timespan(30, 0));
  // Not the default pool, which the whole process shares and whose size is fixed elsewhere.
  pool_ = std::make_unique<Poco::ThreadPool>(2, threads);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      new http_connection_factory(params, guard_, api_, bad_input_), *pool_,
      Listen(server.settings().http_address), params);
  Poco::AutoPtr<connection_limit> limit(new connection_limit(threads, bad_input_));
  limit->SetServer(server_.get());
  server_->setConnectionFilter(limit);
  server_->start();
}

http_server::~http_server() {
  server_->stop();
  guard_.Stop();
  pool_->joinAll();
}

}  // namespace limpetlever
