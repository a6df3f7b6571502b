#ifndef LIMPETLEVER_TRANSPORT_PEER_SERVER_H_
#define LIMPETLEVER_TRANSPORT_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace apache::thrift::concurrency {
class ThreadManager;
}
namespace apache::thrift::server {
class TNonblockingServer;
}

namespace limpetlever {

namespace peer {
class PeerIf;
}

/** Serves thrift/peer.thrift to other hosts (framed, compact protocol) until it is destroyed. */
class peer_server {
 public:
  /** Called with Thrift's error message for each frame that the server could not read. */
  using bad_frame_listener = std::function<void(const std::string& message)>;

  /** Binds to `address`; throws apache::thrift::TException if that fails. */
  peer_server(const std::string& address,
              int threads,
              std::shared_ptr<peer::PeerIf> handler,
              bad_frame_listener on_bad_frame);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

 private:
  std::shared_ptr<apache::thrift::concurrency::ThreadManager> workers_;
  std::shared_ptr<apache::thrift::server::TNonblockingServer> server_;
  std::thread thread_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_PEER_SERVER_H_
