#include "transport/http_fetch.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include "base/errc.h"
#include "base/socket_address.h"

namespace limpetlever {

result<http_reply> HttpFetch(const http_fetch_request& call) {
  const auto address = ParseSocketAddress(call.address);
  if (!address) {
    return failure{errc::connection_failed, "\"" + call.address + "\" is not of the form IP:port"};
  }
  bool is_sent = false;
  try {
    Poco::Net::HTTPClientSession session(address->ip, address->port);
    const Poco::Timespan limit(call.time_limit.count());
    session.setTimeout(limit, limit, limit);
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : call.headers) {
      request.set(name, value);
    }
    request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    std::ostream& out = session.sendRequest(request);
    is_sent = true;
    out << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    http_reply reply{.status = response.getStatus(), .body = {}, .headers = {}};
    Poco::StreamCopier::copyToString(in, reply.body);
    for (const auto& [name, value] : response) {
      reply.headers.emplace(Poco::toLower(name), value);
    }
    return reply;
  } catch (const Poco::Exception& error) {
    return failure{is_sent ? errc::connection_lost : errc::connection_failed,
                   call.address + ": " + error.displayText()};
  }
}

std::string HeaderValue(const http_reply& reply, const std::string& name) {
  const auto found = reply.headers.find(name);
  return found == reply.headers.end() ? std::string() : found->second;
}

}  // namespace limpetlever
