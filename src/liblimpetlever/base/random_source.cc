#include "base/random_source.h"

namespace limpetlever {

std::uint64_t random_source::Next() {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

std::uint64_t random_source::Below(std::uint64_t bound) {
  return bound == 0 ? 0 : Next() % bound;
}

double random_source::Unit() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kScale;
}

}  // namespace limpetlever
