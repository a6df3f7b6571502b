#ifndef TESTS_MEMORY_SILENT_LISTENER_H_
#define TESTS_MEMORY_SILENT_LISTENER_H_

#include <utility>

#include "net/socket.h"
#include "node/host_fixture.h"

namespace limpetlever {

/** A backend server that takes connections and neither reads nor answers. */
class silent_listener {
 public:
  silent_listener() : address_(FreeAddress()), handle_(std::move(Listen(address_).value())) {}
  const socket_address& address() const { return address_; }

 private:
  const socket_address address_;
  const socket_handle handle_;
};

}  // namespace limpetlever

#endif  // TESTS_MEMORY_SILENT_LISTENER_H_
