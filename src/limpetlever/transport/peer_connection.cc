#include "transport/peer_connection.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include "Peer.h"
#include "base/socket_address.h"

namespace limpetlever {

namespace {

constexpr int kConnectTimeLimitMs = 250;

}  // namespace

peer_connection::peer_connection(const std::string& address, duration time_limit) {
  const socket_address parsed = ParseSocketAddress(address).value_or(socket_address{});
  socket_ = std::make_shared<apache::thrift::transport::TSocket>(parsed.ip, parsed.port);
  const int limit_ms =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(time_limit).count());
  socket_->setConnTimeout(kConnectTimeLimitMs);
  socket_->setSendTimeout(limit_ms);
  socket_->setRecvTimeout(limit_ms);
  transport_ = std::make_shared<apache::thrift::transport::TFramedTransport>(socket_);
  client_ = std::make_unique<peer::PeerClient>(
      std::make_shared<apache::thrift::protocol::TCompactProtocol>(transport_));
}

peer_connection::~peer_connection() = default;

void peer_connection::Open() {
  if (!transport_->isOpen()) {
    transport_->open();
  }
}

void peer_connection::Close() {
  transport_->close();
}

}  // namespace limpetlever
