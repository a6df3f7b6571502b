#ifndef LIMPETLEVER_TRANSPORT_BACKEND_CONNECTION_H_
#define LIMPETLEVER_TRANSPORT_BACKEND_CONNECTION_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>

namespace limpetlever {

/** An open connection to a backend server. */
struct backend_connection {
  backend_connection(const Poco::Net::StreamSocket& connected, std::uint64_t id)
      : session(connected), generation(id) {}

  Poco::Net::HTTPClientSession session;
  /** Identifies the connection; unique within this process. */
  std::uint64_t generation = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_CONNECTION_H_
