#include <criterion/criterion.h>

#include "base/random_source.h"
#include "membership/peer_message.h"

using namespace limpetlever;

namespace {

peer_message Sample() {
  return {.kind = peer_message::kind_type::relay,
          .probe = 12345678901234567ULL,
          .target = "10.0.0.1:700",
          .revision = 42,
          .updates = {{.key = "member/a", .incarnation = 5, .version = 9, .value = "r\nd\nx\ny"}}};
}

}  // namespace

// Guards against a field that is lost on the way.
Test(peer_message, comes_back_as_it_was) {
  const auto decoded = DecodePeerMessage(EncodePeerMessage(Sample()));
  cr_assert(decoded && *decoded == Sample());
}

// Guards against a process that ends because of a spoiled datagram: 20,000 mutations, fixed seed.
Test(peer_message, spoiled_bytes_are_refused_or_read) {
  random_source dice(3);
  const std::string good = EncodePeerMessage(Sample());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (std::uint64_t n = 1 + dice.Below(4); n > 0; --n) {
      bytes[dice.Below(bytes.size())] = static_cast<char>(dice.Below(256));
    }
    bytes.resize(bytes.size() - dice.Below(5));
    (void)DecodePeerMessage(bytes);
  }
}
