#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

#include "http/test_host.h"
#include "server/bad_input_log.h"

using namespace limpetlever;

namespace {

/** Connects to a host that has just started: it listens to other hosts on a thread of its own. */
Poco::Net::StreamSocket Connect(const std::string& address) {
  constexpr int kTries = 1000;
  for (int i = 0; i < kTries; ++i) {
    try {
      return Poco::Net::StreamSocket(Poco::Net::SocketAddress(address));
    } catch (const Poco::Net::ConnectionRefusedException&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  cr_assert_fail("the host does not listen at %s", address.c_str());
  return {};
}

}  // namespace

// Guards against unreadable messages at the peer address that stop the host or are not counted.
// They are recognised by the Thrift library's log text, which may change with its version.
Test(peer_frames, unreadable_frames_are_counted_and_do_not_stop_the_host) {
  test_host host;
  const std::string frames[] = {"GET / HTTP/1.0\r\n\r\n", std::string("\0\0\0\5abcde", 9),
                                std::string("\xff\xff\xff\xff", 4)};
  std::vector<Poco::Net::StreamSocket> sockets;
  for (const std::string& frame : frames) {
    sockets.push_back(Connect(host.server().settings().peer_address));
    sockets.back().sendBytes(frame.data(), static_cast<int>(frame.size()));
  }
  // Frames are counted asynchronously.
  while (host.server().bad_input().counts()["bad_frame"] < std::size(frames)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(host.Call("GET", "/v1/status?brief=1").status == 200);
}
