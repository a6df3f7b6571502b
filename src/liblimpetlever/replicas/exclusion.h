#ifndef LIMPETLEVER_REPLICAS_EXCLUSION_H_
#define LIMPETLEVER_REPLICAS_EXCLUSION_H_

namespace limpetlever {

/** Why a backend server gets no request from this host. */
enum class exclusion {
  none,
  /** It is not registered, or no longer. */
  not_registered,
  /** Its entry says that it is draining. */
  draining,
  /** Operators have taken out its data centre. */
  data_centre_out,
  /** Another server has answered at its address. */
  misdirected,
  /** An answer of the server said that it is leaving. */
  leaving,
  /** The server wants no request from this host for some time. */
  pause,
  /** The server limits the requests of all hosts together. */
  limit,
  /** The server is cold, and the configuration limits the requests of all hosts together. */
  cold
};

inline constexpr int kExclusionCount = static_cast<int>(exclusion::cold) + 1;

/** The enumerator's name. */
const char* ToString(exclusion reason);

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_EXCLUSION_H_
