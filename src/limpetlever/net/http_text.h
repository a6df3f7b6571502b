#ifndef LIMPETLEVER_NET_HTTP_TEXT_H_
#define LIMPETLEVER_NET_HTTP_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace limpetlever {

/** Appends "HTTP/1.1 STATUS REASON" and the line end. */
void AppendStatusLine(std::string& out, int status);
/** Appends "METHOD TARGET HTTP/1.1" and the line end. */
void AppendRequestLine(std::string& out, std::string_view method, std::string_view target);
void AppendField(std::string& out, std::string_view name, std::string_view value);
/** Appends Content-Length, the empty line and the body. */
void AppendBody(std::string& out, std::string_view body);
/** A whole response with a body of the given type. */
std::string SimpleResponse(int status, std::string_view content_type, std::string_view body);

/** Resolves the %XX escapes of a query parameter; others stay as they are. */
std::string Unescaped(std::string_view text);

/** Whether a header field concerns one connection only and is not passed on. */
bool IsHopField(std::string_view name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_TEXT_H_
