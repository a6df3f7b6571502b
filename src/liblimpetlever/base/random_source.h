#ifndef LIMPETLEVER_BASE_RANDOM_SOURCE_H_
#define LIMPETLEVER_BASE_RANDOM_SOURCE_H_

#include <cstdint>

namespace limpetlever {

/** SplitMix64 generator; a seed gives the same sequence on every platform. Not cryptographic. */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /** The next 64 random bits. */
  std::uint64_t Next();

  /** Uniform in [0, bound); 0 when bound is 0. */
  std::uint64_t Below(std::uint64_t bound);

  /** Uniform in [0, 1). */
  double Unit();

 private:
  std::uint64_t state_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_RANDOM_SOURCE_H_
