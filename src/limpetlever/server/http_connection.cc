#include "server/http_connection.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <glog/logging.h>

#include <array>
#include <exception>
#include <utility>

#include "server/api_format.h"
#include "server/bad_input_log.h"
#include "server/connection_guard.h"
#include "server/http_api.h"

namespace limpetlever {

namespace {

/** Reads `size` bytes, or fewer if the client closes the connection or the time limit expires. */
std::string ReadBody(std::istream& in, std::size_t size) {
  std::string body;
  std::array<char, 8192> block;
  while (body.size() < size) {
    in.read(block.data(), static_cast<std::streamsize>(std::min(block.size(), size - body.size())));
    if (in.gcount() <= 0) {
      break;
    }
    body.append(block.data(), static_cast<std::size_t>(in.gcount()));
  }
  return body;
}

std::size_t CountHeaders(const Poco::Net::HTTPServerRequestImpl& request, const std::string& name) {
  std::size_t count = 0;
  for (auto at = request.find(name); at != request.end() && Poco::icompare(at->first, name) == 0;
       ++at) {
    ++count;
  }
  return count;
}

std::string BadInputReason(int status) {
  switch (status) {
    case 404:
      return "unknown_path";
    case 405:
      return "wrong_method";
    case 409:
      return "conflict";
    case 413:
      return "too_large";
    default:
      return "bad_request";
  }
}

}  // namespace

http_connection::http_connection(const Poco::Net::StreamSocket& socket,
                                 Poco::Net::HTTPServerParams::Ptr params,
                                 connection_guard& guard,
                                 http_api& api,
                                 bad_input_log& bad_input)
    : TCPServerConnection(socket),
      params_(std::move(params)),
      guard_(guard),
      api_(api),
      bad_input_(bad_input) {}

void http_connection::run() {
  try {
    client_address_ = socket().peerAddress().toString();
    const auto id = guard_.Add(socket());
    if (!id) {
      return;
    }
    id_ = *id;
    Poco::Net::HTTPServerSession session(socket(), params_);
    while (session.hasMoreRequests() && !guard_.is_stopping()) {
      if (!Serve(session)) {
        break;
      }
    }
  } catch (const Poco::Exception& error) {
    VLOG(1) << "connection from " << client_address_ << " failed: " << error.displayText();
  } catch (const std::exception& error) {
    LOG(ERROR) << "[800] connection from " << client_address_ << " failed: " << error.what();
  }
  guard_.Remove(id_);
}

bool http_connection::Serve(Poco::Net::HTTPServerSession& session) {
  guard_.BeginRead(id_);
  Poco::Net::HTTPServerResponseImpl response(session);
  bool is_fully_read = false;
  bool keep_alive = false;
  api_response answer;
  std::string allowed;
  try {
    Poco::Net::HTTPServerRequestImpl request(response, session, params_.get());
    answer = Answer(request, response, is_fully_read);
    keep_alive = is_fully_read && request.getMethod() != "HEAD" && request.getKeepAlive() &&
                 session.canKeepAlive();
    if (answer.status == 405) {
      allowed = http_api::AllowedMethods(Poco::URI(request.getURI()).getPath());
    }
  } catch (const Poco::Net::NoMessageException&) {
    // The client closed the connection or sent no request within the time limit.
    if (!guard_.EndRead(id_)) {
      bad_input_.Add("slow_request", client_address_, "no request within the time limit");
    }
    return false;
  } catch (const Poco::Exception& error) {
    answer = guard_.EndRead(id_)
                 ? Refuse(400, "malformed_request", error.displayText())
                 : Refuse(408, "slow_request", "request not complete within the time limit");
  } catch (const std::exception& error) {
    LOG(ERROR) << "[800] request from " << client_address_ << " failed: " << error.what();
    answer = Refuse(400, "malformed_request", error.what());
  }
  return Send(session, answer, allowed, keep_alive);
}

api_response http_connection::Refuse(int status,
                                     const std::string& reason,
                                     const std::string& detail) {
  bad_input_.Add(reason, client_address_, detail);
  return ErrorResponse(status, reason + ": " + detail);
}

api_response http_connection::Answer(Poco::Net::HTTPServerRequestImpl& request,
                                     Poco::Net::HTTPServerResponseImpl& response,
                                     bool& is_fully_read) {
  const Poco::URI uri(request.getURI());
  api_request call{
      .method = request.getMethod(), .path = uri.getPath(), .parameters = {}, .body = {}};
  for (const auto& [name, value] : uri.getQueryParameters()) {
    call.parameters.emplace(name, value);
  }
  const auto name = call.parameters.find("caller");
  call.caller = name == call.parameters.end()
                    ? client_address_.substr(0, client_address_.rfind(':'))
                    : name->second;
  // A chunked body that ends early cannot be distinguished from a complete one, so a length is
  // required.
  if (request.has("Transfer-Encoding")) {
    return Refuse(411, "length_required", "Transfer-Encoding is not accepted");
  }
  const std::size_t length_headers = CountHeaders(request, "Content-Length");
  if (length_headers > 1) {
    return Refuse(400, "malformed_request", "more than one Content-Length");
  }
  if (length_headers == 0 && (call.method == "POST" || call.method == "PUT")) {
    return Refuse(411, "length_required", "Content-Length is missing");
  }
  const std::string length_text = request.get("Content-Length", "0");
  if (length_text.empty() || length_text.find_first_not_of("0123456789") != std::string::npos) {
    return Refuse(400, "malformed_request", "Content-Length is not a number");
  }
  const Poco::Int64 length = length_headers == 0 ? 0 : request.getContentLength64();
  const std::size_t max_bytes = api_.MaxBodyBytes(call);
  if (length < 0 || static_cast<std::size_t>(length) > max_bytes) {
    return Refuse(413, "too_large",
                  "the body may have at most " + std::to_string(max_bytes) + " bytes");
  }
  if (request.getExpectContinue()) {
    response.sendContinue();
  }
  if (length > 0) {
    call.body = ReadBody(request.stream(), static_cast<std::size_t>(length));
  }
  const bool is_in_time = guard_.EndRead(id_);
  if (call.body.size() < static_cast<std::size_t>(length)) {
    return is_in_time ? Refuse(400, "incomplete_body", "the body is shorter than Content-Length")
                      : Refuse(408, "slow_request", "request not complete within the time limit");
  }
  is_fully_read = true;
  api_response answer;
  try {
    answer = api_.Handle(call);
  } catch (const std::exception& error) {
    // The handler may have started work, so the verdict must not be not_run.
    LOG(ERROR) << "[800] handler of " << call.method << " " << call.path
               << " failed: " << error.what();
    bad_input_.Add("handler_failed", client_address_, call.path + ": " + error.what());
    return {
        .status = 504,
        .body =
            R"({"verdict":"may_have_run","error":"internal error while the request was handled"})"};
  }
  if (answer.status >= 400 && answer.status < 500) {
    bad_input_.Add(BadInputReason(answer.status), client_address_, call.method + " " + call.path);
  }
  return answer;
}

bool http_connection::Send(Poco::Net::HTTPServerSession& session,
                           const api_response& answer,
                           const std::string& allowed,
                           bool keep_alive) {
  // A new response, since the one that the request was read with refers to the destroyed request.
  Poco::Net::HTTPServerResponseImpl response(session);
  if (!allowed.empty()) {
    response.set("Allow", allowed);
  }
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setKeepAlive(keep_alive);
  response.setContentType(answer.content_type);
  response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
  guard_.BeginWrite(id_);
  response.send() << answer.body << std::flush;
  guard_.EndWrite(id_);
  session.setKeepAlive(keep_alive);
  return keep_alive;
}

}  // namespace limpetlever
