#include "node/request_fingerprints.h"

#include "base/hash.h"
#include "net/http_message.h"

namespace limpetlever {

request_fingerprints ComputeFingerprints(const http_message& request, std::string_view caller_ip) {
  std::uint64_t content = CombineHashes(Hash(request.Find("Host")), Hash(request.target));
  content = CombineHashes(content, Hash(request.method));
  content = CombineHashes(content, Hash(request.body));
  return {content, CombineHashes(content, Hash(caller_ip))};
}

}  // namespace limpetlever
