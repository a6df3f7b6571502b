#include "claims/running_submissions.h"

namespace limpetlever {

running_submissions::admission running_submissions::Begin(const std::string& journal_key,
                                                          std::uint64_t fingerprint) {
  const auto [item, is_new] = fingerprints_.emplace(journal_key, fingerprint);
  if (is_new) {
    return admission::start;
  }
  return item->second == fingerprint ? admission::join : admission::refuse;
}

void running_submissions::End(const std::string& journal_key) {
  fingerprints_.erase(journal_key);
}

}  // namespace limpetlever
