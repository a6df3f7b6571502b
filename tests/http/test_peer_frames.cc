#include <criterion/criterion.h>

#include <thread>

#include "http/test_host.h"
#include "server/bad_input_log.h"

using namespace limpetlever;

// Guards against unreadable messages at the peer address that stop the host or are not counted.
// They are recognised by the Thrift library's log text, which may change with its version.
Test(peer_frames, unreadable_frames_are_counted_and_do_not_stop_the_host) {
  test_host host;
  const std::string frames[] = {"GET / HTTP/1.0\r\n\r\n", std::string("\0\0\0\5abcde", 9),
                                std::string("\xff\xff\xff\xff", 4)};
  std::vector<Poco::Net::StreamSocket> sockets;
  for (const std::string& frame : frames) {
    sockets.emplace_back(Poco::Net::SocketAddress(host.server().settings().peer_address));
    sockets.back().sendBytes(frame.data(), static_cast<int>(frame.size()));
  }
  // Frames are counted asynchronously.
  while (host.server().bad_input().counts()["bad_frame"] < std::size(frames)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(host.Call("GET", "/v1/status?brief=1").status == 200);
}
