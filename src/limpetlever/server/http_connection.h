#ifndef LIMPETLEVER_SERVER_HTTP_CONNECTION_H_
#define LIMPETLEVER_SERVER_HTTP_CONNECTION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>
#include <optional>
#include <string>

#include "server/api_request.h"
#include "server/api_response.h"

namespace Poco::Net {
class HTTPServerRequestImpl;
class HTTPServerResponseImpl;
class HTTPServerSession;
}  // namespace Poco::Net

namespace limpetlever {

class bad_input_log;
class connection_guard;
class http_api;

/**
 * One connection of a caller or operator. A request reaches the API only if it was fully read
 * within its limits. Any other input is refused and counted, and the connection is closed, since
 * the remaining input may not begin at a request.
 */
class http_connection : public Poco::Net::TCPServerConnection {
 public:
  http_connection(const Poco::Net::StreamSocket& socket,
                  Poco::Net::HTTPServerParams::Ptr params,
                  connection_guard& guard,
                  http_api& api,
                  bad_input_log& bad_input);

  void run() override;

 private:
  /** Serves one request; returns whether the connection may be used for another. */
  bool Serve(Poco::Net::HTTPServerSession& session);
  /**
   * Reads and answers one request; throws Poco::Exception if it is malformed. Sets `is_fully_read`
   * if the whole request was read, so that the connection can be used for another.
   */
  api_response Answer(Poco::Net::HTTPServerRequestImpl& request,
                      Poco::Net::HTTPServerResponseImpl& response,
                      bool& is_fully_read);
  /** Counts the refusal as bad input and returns the response to it. */
  api_response Refuse(int status, const std::string& reason, const std::string& detail);
  bool Send(Poco::Net::HTTPServerSession& session,
            const api_response& answer,
            const std::string& allowed,
            bool keep_alive);

  Poco::Net::HTTPServerParams::Ptr params_;
  connection_guard& guard_;
  http_api& api_;
  bad_input_log& bad_input_;
  std::string client_address_;
  std::uint64_t id_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_HTTP_CONNECTION_H_
