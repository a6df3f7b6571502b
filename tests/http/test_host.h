#ifndef LIMPETLEVER_TESTS_HTTP_TEST_HOST_H_
#define LIMPETLEVER_TESTS_HTTP_TEST_HOST_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "host_list_service.h"
#include "key_value_service.h"
#include "server/host_server.h"
#include "table/table_json.h"
#include "transport/http_fetch.h"
#include "transport/key_value_client.h"

namespace limpetlever {

/** A host with stand-in services on free loopback ports and a table without backend servers. */
class test_host {
 public:
  explicit test_host(int http_threads = 16, int request_read_ms = 600'000)
      : store_("127.0.0.1", 0), hosts_("127.0.0.1", 0) {
    operator_table table{
        .version = 1,
        .workloads = {{.name = "matching"}},
        .services = {{.name = "m", .workload = "matching"}},
        .data_centres = {{.name = "east", .region = "r"}, {.name = "north", .region = "r"}}};
    key_value_client(Address(store_.port())).Put("table", FormatTableJson(table), 0);
    settings_ = {.name = "h",
                 .region = "r",
                 .data_centre = "north",
                 .http_address = FreeAddress(),
                 .peer_address = FreeAddress(),
                 .key_value_address = Address(store_.port()),
                 .host_list_address = Address(hosts_.port()),
                 .http_threads = http_threads,
                 .request_read_ms = request_read_ms};
    server_ = std::make_unique<host_server>(settings_);
    server_->Start();
    // The host reads the table from the key-value service asynchronously.
    while (server_->state().table()->version == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  const std::string& address() const { return settings_.http_address; }
  host_server& server() { return *server_; }

  http_reply Call(const std::string& method,
                  const std::string& path,
                  const std::string& body = {}) {
    const auto reply = HttpFetch({.address = address(),
                                  .method = method,
                                  .path = path,
                                  .body = body,
                                  .time_limit = std::chrono::seconds(60)});
    return reply ? *reply : http_reply{};
  }

  /**
   * Sends raw bytes. Returns what the host sends until it closes the connection, or until a
   * non-empty `stop_text` is received; `half_close` shuts down the sending side after the bytes.
   */
  std::string Raw(const std::string& bytes,
                  const std::string& stop_text = {},
                  bool half_close = false) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address())};
    socket.setReceiveTimeout(Poco::Timespan(60, 0));
    std::string received;
    try {
      for (std::size_t sent = 0; sent < bytes.size();) {
        sent += static_cast<std::size_t>(
            socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
      }
      if (half_close) {
        socket.shutdownSend();
      }
      char block[4096];
      for (int n = 0; (stop_text.empty() || received.find(stop_text) == std::string::npos) &&
                      (n = socket.receiveBytes(block, sizeof(block))) > 0;) {
        received.append(block, static_cast<std::size_t>(n));
      }
    } catch (const Poco::Exception& error) {
      received += "[" + error.displayText() + "]";
    }
    return received;
  }

 private:
  static std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }
  /**
   * A free port on a loopback address derived from the process id, so that no other test process
   * can take it.
   */
  static std::string FreeAddress() {
    const auto process = static_cast<unsigned>(getpid());
    const std::string ip = "127." + std::to_string(64 + (process >> 16) % 128) + "." +
                           std::to_string((process >> 8) % 256) + "." +
                           std::to_string(process % 256);
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress(ip, 0)).address().toString();
  }

  key_value_service store_;
  host_list_service hosts_;
  host_settings settings_;
  std::unique_ptr<host_server> server_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_HTTP_TEST_HOST_H_
