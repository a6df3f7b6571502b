#ifndef LIMPETLEVER_NET_HTTP_TEXT_H_
#define LIMPETLEVER_NET_HTTP_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace limpetlever {

/** Appends "HTTP/1.1 STATUS REASON" and CRLF. */
void AppendStatusLine(std::string& out, int status);
/** Appends "METHOD TARGET HTTP/1.1" and CRLF. */
void AppendRequestLine(std::string& out, std::string_view method, std::string_view target);
/** Appends the header field "NAME: VALUE" and CRLF. */
void AppendField(std::string& out, std::string_view name, std::string_view value);
/** Appends Content-Length, the empty line and the body. */
void AppendBody(std::string& out, std::string_view body);
/** A complete response with a body of the given type; no Content-Type field if that is empty. */
std::string SimpleResponse(int status, std::string_view content_type, std::string_view body);

/** Decodes the %XX escapes of a query parameter; invalid ones are kept as they are. */
std::string PercentDecode(std::string_view text);

/** Whether this is a hop-by-hop header field, which a proxy does not forward. */
bool IsHopByHopField(std::string_view name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_TEXT_H_
