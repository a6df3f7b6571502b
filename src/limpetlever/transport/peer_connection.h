#ifndef LIMPETLEVER_TRANSPORT_PEER_CONNECTION_H_
#define LIMPETLEVER_TRANSPORT_PEER_CONNECTION_H_

#include <memory>
#include <string>

#include "base/time_types.h"

namespace apache::thrift::transport {
class TSocket;
class TTransport;
}  // namespace apache::thrift::transport

namespace limpetlever {

namespace peer {
class PeerClient;
}

/** A Thrift connection to another host (framed, compact protocol). Not thread-safe. */
class peer_connection {
 public:
  /** Does not connect yet. `time_limit` applies to each send and each receive. */
  peer_connection(const std::string& address, duration time_limit);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  /** Connects unless connected; throws apache::thrift::TException on failure. */
  void Open();
  void Close();
  peer::PeerClient& client() { return *client_; }

 private:
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::shared_ptr<apache::thrift::transport::TTransport> transport_;
  std::unique_ptr<peer::PeerClient> client_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_PEER_CONNECTION_H_
