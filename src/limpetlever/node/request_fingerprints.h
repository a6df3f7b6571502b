#ifndef LIMPETLEVER_NODE_REQUEST_FINGERPRINTS_H_
#define LIMPETLEVER_NODE_REQUEST_FINGERPRINTS_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace limpetlever {

class http_message;

/**
 * Hashes by which a request is recognised when it is sent again. The first is of its host, target,
 * method and body: callers may have several addresses. The second includes the caller's address:
 * if other callers' requests with the same content complete, only this one shows which of them
 * crashes servers.
 */
using request_fingerprints = std::array<std::uint64_t, 2>;

request_fingerprints ComputeFingerprints(const http_message& request, std::string_view caller_ip);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REQUEST_FINGERPRINTS_H_
