#include <criterion/criterion.h>

#include "platform/base64.h"
#include "platform/replica_decoder.h"

using namespace limpetlever;

// Guards against a field that is decoded into the wrong member, with the wrong unit or not at all.
Test(replica_decoder, all_fields) {
  const auto decoded = platform::DecodeReplica(
      "i-1", R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,)"
             R"("state":"draining","warmupLeftMs":1500,"seq":4,"born":77})");
  cr_assert(decoded);
  cr_assert(decoded->id == "i-1" && decoded->service == "s" && decoded->data_centre == "z");
  cr_assert(decoded->address == (socket_address{"10.0.0.9", 8080}));
  cr_assert(decoded->slots == 2 && decoded->is_draining && decoded->started_ms == 77);
  cr_assert(decoded->sequence == 4);
  cr_assert(decoded->warm_up_left == std::chrono::milliseconds(1500));
}

// Guards against requests to an address from an invalid entry, such as one of another writer.
Test(replica_decoder, invalid_entries_are_refused) {
  for (
      const char* text :
      {"", "\xff\xfe", "[]", R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":2})",
       R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":2,"state":"unknown"})",
       R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":"2","state":"ready"})",
       R"({"service":7,"address":"10.0.0.9:8080","zone":"z","slots":2,"state":"ready"})",
       R"({"service":"s","address":"host:8080","zone":"z","slots":2,"state":"ready"})",
       R"({"service":"s","address":"host:8080","zone":"z","version":"v1","slots":2,"state":"ready",)"
       R"("warmupLeftMs":0,"seq":4,"born":77})"}) {
    cr_assert(!platform::DecodeReplica("i", text), "%s", text);
  }
}

// Guards against store values that change in an encoding round trip.
Test(base64, round_trip) {
  for (std::size_t size = 0; size < 40; ++size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) {
      bytes += static_cast<char>(255 - 7 * i);
    }
    const std::string text = platform::EncodeBase64(bytes);
    cr_assert(text.size() % 4 == 0);
    cr_assert(platform::DecodeBase64(text) == bytes, "size %zu", size);
  }
  cr_assert(platform::EncodeBase64("node-1") == "bm9kZS0x");
  cr_assert(!platform::DecodeBase64("abc"));
  cr_assert(!platform::DecodeBase64("ab!="));
}
