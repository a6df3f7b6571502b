#ifndef LIMPETLEVER_REPLICAS_ADMISSION_H_
#define LIMPETLEVER_REPLICAS_ADMISSION_H_

#include <optional>
#include <string>

#include "base/time_types.h"
#include "replicas/exclusion.h"
#include "replicas/waiting_decision.h"

namespace limpetlever {

class replica_registry;
struct replica_record;
struct server_notice;
struct waiting_request;

/**
 * Whether a backend server may be sent a request, and if not, why. This is the only place that
 * decides it; how good a choice the server is, is decided by ChooseReplica.
 */
struct admission {
  exclusion reason = exclusion::none;
  /** When the server may be sent a request; nullopt if that is not foreseeable. */
  std::optional<instant> next;

  bool MaySend(instant now) const { return next && *next <= now; }
  bool operator==(const admission&) const = default;
};

/** The reason for which the server gets no request until it changes; `none` if there is none. */
exclusion LastingExclusion(const replica_record& record);
/** Whether the server is in use, although it may not be sent a request at this moment. */
bool IsUsable(const replica_record& record);

/** To be called after each change of what LastingExclusion depends on. */
void UpdateExclusion(replica_record& record, instant now);

admission CheckAdmission(const replica_record& record, instant now);
/** The admission of the server of `service` that may be sent a request first. */
admission CheckAdmission(const replica_registry& replicas, const std::string& service, instant now);

/**
 * What happens to a request that waits for a connection to the server. Depends on the time: a
 * server that leaves serves for some time only.
 */
waiting_decision DecideWaiting(const replica_record& record,
                               const waiting_request& request,
                               instant now);

/** Applies what an answer says. `spread` (0 to 1) is random; see request_pause::OnAsked. */
void ApplyNotice(replica_record& record, const server_notice& notice, instant now, double spread);

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_ADMISSION_H_
