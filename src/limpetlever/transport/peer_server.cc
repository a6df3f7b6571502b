#include "transport/peer_server.h"

#include <glog/logging.h>
#include <thrift/TOutput.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TNonblockingServerSocket.h>

#include <mutex>
#include <utility>

#include "Peer.h"
#include "base/socket_address.h"

namespace limpetlever {

namespace {

// Larger frames are refused and their connection is closed. A whole operator table fits.
constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/**
 * Passes Thrift's error messages to a listener. Thrift reports unreadable frames only as text and
 * through one output function per process, so with several servers in a process the newest one
 * receives all reports.
 */
struct error_relay {
  std::mutex mutex;
  const void* receiver = nullptr;
  peer_server::bad_frame_listener listener;
};

error_relay& Relay() {
  static auto* relay = new error_relay;
  return *relay;
}

void OnThriftError(const char* text) {
  const std::string message = text;
  VLOG(1) << "[800] " << message;
  if (message.find("frame size") == std::string::npos &&
      message.find("process() exception") == std::string::npos) {
    return;
  }
  error_relay& relay = Relay();
  const std::lock_guard lock(relay.mutex);
  if (relay.listener) {
    relay.listener(message);
  }
}

}  // namespace

peer_server::peer_server(const std::string& address,
                         int threads,
                         std::shared_ptr<peer::PeerIf> handler,
                         bad_frame_listener on_bad_frame) {
  using namespace apache::thrift;  // NOLINT(google-build-using-namespace)
  {
    const std::lock_guard lock(Relay().mutex);
    Relay().receiver = this;
    Relay().listener = std::move(on_bad_frame);
  }
  GlobalOutput.setOutputFunction(OnThriftError);
  const socket_address parsed = ParseSocketAddress(address).value_or(socket_address{});
  workers_ = concurrency::ThreadManager::newSimpleThreadManager(threads);
  workers_->threadFactory(std::make_shared<concurrency::ThreadFactory>(false));
  workers_->start();
  server_ = std::make_shared<server::TNonblockingServer>(
      std::make_shared<peer::PeerProcessor>(std::move(handler)),
      std::make_shared<protocol::TCompactProtocolFactory>(),
      std::make_shared<transport::TNonblockingServerSocket>(parsed.ip, parsed.port), workers_);
  server_->setMaxFrameSize(kMaxFrameBytes);
  thread_ = std::thread([this] { server_->serve(); });
}

peer_server::~peer_server() {
  {
    const std::lock_guard lock(Relay().mutex);
    if (Relay().receiver == this) {
      Relay().listener = {};
    }
  }
  server_->stop();
  thread_.join();
  // A call still in progress uses its connection, which the server's destructor frees; wait for it.
  workers_->stop();
}

}  // namespace limpetlever
