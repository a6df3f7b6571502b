#ifndef LIMPETLEVER_CLAIMS_RUNNING_SUBMISSIONS_H_
#define LIMPETLEVER_CLAIMS_RUNNING_SUBMISSIONS_H_

#include <cstdint>
#include <map>
#include <string>

namespace limpetlever {

/**
 * Keys of the submissions that run on this host. A resent request waits for the running submission
 * instead of claiming the key again. Not thread-safe.
 */
class running_submissions {
 public:
  enum class admission {
    /** No submission with this key runs: start one, and call End when it is finished. */
    start,
    /** Wait for the answer of the running submission. */
    join,
    /** The running submission has another body: refuse with errc::key_reused. */
    refuse
  };

  /** Returns what to do with a request that has this key and fingerprint. */
  admission Begin(const std::string& journal_key, std::uint64_t fingerprint);
  void End(const std::string& journal_key);

 private:
  std::map<std::string, std::uint64_t> fingerprints_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_RUNNING_SUBMISSIONS_H_
