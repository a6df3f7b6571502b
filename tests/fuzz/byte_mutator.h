#ifndef TESTS_FUZZ_BYTE_MUTATOR_H_
#define TESTS_FUZZ_BYTE_MUTATOR_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random_source.h"

namespace limpetlever {

/** Derives odd inputs from valid ones; the same seed gives the same inputs. */
class byte_mutator {
 public:
  explicit byte_mutator(std::uint64_t seed) : random_(seed) {}

  /** A changed copy of one of `samples`. */
  std::string Mutate(const std::vector<std::string>& samples) {
    std::string bytes = samples[random_.Below(samples.size())];
    for (std::uint64_t n = 1 + random_.Below(kMaxChanges); n > 0; --n) {
      Change(bytes);
    }
    return bytes;
  }

 private:
  static constexpr std::uint64_t kMaxChanges = 6;
  static constexpr std::size_t kMaxBytes = 256 * 1024;

  std::size_t Position(const std::string& bytes) { return random_.Below(bytes.size() + 1); }

  /** Replaces the decimal number at or after a random position by an odd one. */
  void ReplaceNumber(std::string& bytes) {
    static constexpr std::array kNumbers = {"0",
                                            "-1",
                                            "9223372036854775807",
                                            "-9223372036854775808",
                                            "18446744073709551616",
                                            "1e300",
                                            "-1e300",
                                            "1e999",
                                            "4294967297",
                                            "2147483648",
                                            "0.5",
                                            "99999",
                                            "1000000000000000000000",
                                            "nan",
                                            ""};
    const std::size_t first = bytes.find_first_of("0123456789", Position(bytes));
    if (first == std::string::npos) {
      return;
    }
    std::size_t last = bytes.find_first_not_of("0123456789", first);
    last = last == std::string::npos ? bytes.size() : last;
    bytes.replace(first, last - first, kNumbers[random_.Below(kNumbers.size())]);
  }

  void InsertRepeated(std::string& bytes) {
    static constexpr std::array kPieces = {"[", "{\"a\":", "]", "}",    "\"", "\\u0000", " ",
                                           ",", ":",       "x", "\r\n", "%",  "\xff"};
    constexpr std::array<std::size_t, 5> kCounts = {1, 2, 50, 3000, 20000};
    const std::string piece = kPieces[random_.Below(kPieces.size())];
    std::string repeated;
    for (std::size_t n = kCounts[random_.Below(kCounts.size())]; n > 0; --n) {
      repeated += piece;
    }
    bytes.insert(Position(bytes), repeated);
  }

  void Change(std::string& bytes) {
    switch (random_.Below(7)) {
      case 0:
        if (!bytes.empty()) {
          bytes[random_.Below(bytes.size())] = static_cast<char>(random_.Below(256));
        }
        break;
      case 1:
        bytes.resize(Position(bytes));
        break;
      case 2: {
        const std::size_t at = Position(bytes);
        bytes.insert(at, bytes.substr(Position(bytes), random_.Below(64)));
        break;
      }
      case 3:
        bytes.erase(Position(bytes), random_.Below(16));
        break;
      case 4:
        InsertRepeated(bytes);
        break;
      default:
        ReplaceNumber(bytes);
    }
    bytes.resize(std::min(bytes.size(), kMaxBytes));
  }

  random_source random_;
};

}  // namespace limpetlever

#endif  // TESTS_FUZZ_BYTE_MUTATOR_H_
