#ifndef LIMPETLEVER_BASE_HASH_H_
#define LIMPETLEVER_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace limpetlever {

/** 64-bit FNV-1a hash with a finalising mix; the result is the same on every host and build. */
std::uint64_t Hash(std::string_view bytes);

/** Combines two hashes into one; not commutative. */
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_HASH_H_
