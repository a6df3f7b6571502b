#include "base/hash.h"

namespace limpetlever {

namespace {

std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  x ^= x >> 31;
  return x;
}

}  // namespace

std::uint64_t Hash(std::string_view bytes) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : bytes) {
    h ^= static_cast<unsigned char>(c);
    h *= 0x100000001b3ULL;
  }
  return Mix(h);
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  return Mix(first * 0x9e3779b97f4a7c15ULL + second);
}

}  // namespace limpetlever
